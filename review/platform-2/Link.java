import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** A connection between two hosts on loopback, which holds all bytes while the network between them is interrupted. */
final class Link {
    private final ServerSocket server;

    Link(int targetPort, BooleanSupplier interrupted) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Http.daemon(() -> {
            while (true) {
                try {
                    Socket near = server.accept();
                    Http.daemon(() -> connect(near, targetPort, interrupted));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private static void connect(Socket near, int targetPort, BooleanSupplier interrupted) {
        hold(interrupted);
        try {
            Socket far = new Socket("127.0.0.1", targetPort);
            Http.daemon(() -> copy(near, far, interrupted));
            copy(far, near, interrupted);
        } catch (IOException e) {
            close(near);
        }
    }

    private static void hold(BooleanSupplier interrupted) {
        while (interrupted.getAsBoolean()) Site.sleep(20);
    }

    private static void copy(Socket from, Socket to, BooleanSupplier interrupted) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                hold(interrupted);
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // Both directions end.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }
}

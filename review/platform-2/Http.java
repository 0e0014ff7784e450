import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** HTTP/1.1 with CBOR bodies over loopback: a server with one thread for each connection, and a client. */
final class Http {
    private Http() {
    }

    static final class Request {
        final String method;
        final String path;
        final byte[] body;

        Request(String method, String path, byte[] body) {
            this.method = method;
            this.path = path;
            this.body = body;
        }
    }

    static final class Response {
        final int status;
        final byte[] body;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        Response(int status, Map<String, Object> body) {
            this(status, Cbor.encode(body));
        }

        Map<String, Object> map() {
            return Cbor.decode(body);
        }
    }

    interface Handler {
        /** Returns the response; null closes the connection without one. */
        Response handle(Request request) throws InterruptedException;
    }

    static final class Server {
        final ServerSocket socket;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    daemon(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = new BufferedOutputStream(connection.getOutputStream(), 1 << 16);
                while (true) {
                    String first = line(in);
                    if (first == null || first.isEmpty()) return;
                    boolean[] close = {false};
                    byte[] body = body(in, close);
                    String[] words = first.split(" ");
                    Response response = handler.handle(new Request(words[0], words[1], body));
                    if (response == null) return;
                    String head = "HTTP/1.1 " + response.status + " S\r\nContent-Type: application/cbor\r\nContent-Length: "
                        + response.body.length + "\r\n" + (close[0] ? "Connection: close\r\n" : "") + "\r\n";
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(response.body);
                    out.flush();
                    if (close[0]) return;
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                // The connection ends; the peer treats its request as unanswered.
            }
        }
    }

    private static byte[] body(InputStream in, boolean[] close) throws IOException {
        int length = 0;
        boolean chunked = false;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            String name = header.substring(0, colon).trim().toLowerCase();
            String value = header.substring(colon + 1).trim();
            if (name.equals("content-length")) length = Integer.parseInt(value);
            if (name.equals("connection") && value.equalsIgnoreCase("close")) close[0] = true;
            if (name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked")) chunked = true;
        }
        if (!chunked) return in.readNBytes(length);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).trim(), 16);
            all.write(in.readNBytes(size));
            line(in);
            if (size == 0) return all.toByteArray();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return null;
            if (b != '\r') text.write(b);
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    /** A connection to one server, which stays open. Used by one thread at a time. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Sends a request; returns null without a complete response in time. */
        Response send(String method, String path, byte[] body, int timeoutMs) {
            try {
                if (socket == null) {
                    Socket fresh = new Socket();
                    fresh.setTcpNoDelay(true);
                    fresh.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 2000));
                    socket = fresh;
                    in = new BufferedInputStream(fresh.getInputStream());
                }
                socket.setSoTimeout(timeoutMs);
                String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\n"
                    + (body == null ? "" : "Content-Type: application/cbor\r\nContent-Length: " + body.length + "\r\n") + "\r\n";
                ByteArrayOutputStream message = new ByteArrayOutputStream();
                message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
                if (body != null) message.writeBytes(body);
                socket.getOutputStream().write(message.toByteArray());
                String first = line(in);
                if (first == null) throw new IOException("closed");
                boolean[] close = {false};
                byte[] content = body(in, close);
                if (close[0]) close();
                return new Response(Integer.parseInt(first.split(" ")[1]), content);
            } catch (IOException | RuntimeException e) {
                close();
                return null;
            }
        }

        void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException ignored) {
                // Nothing is left to close.
            }
            socket = null;
        }
    }

    /** Sends one request on a connection of its own. */
    static Response once(int port, String method, String path, byte[] body, int timeoutMs) {
        Client client = new Client(port);
        try {
            return client.send(method, path, body, timeoutMs);
        } finally {
            client.close();
        }
    }

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

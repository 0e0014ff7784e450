import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** HTTP/1.1 with blocking sockets on loopback: a thread for each connection of a server, a connection for each client. */
final class Http {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    static final class Request {
        final String method, path;
        final Map<String, String> query;
        final byte[] body;
        Request(String method, String path, Map<String, String> query, byte[] body) {
            this.method = method; this.path = path; this.query = query; this.body = body;
        }
    }

    static final class Response {
        final int status;
        final byte[] body;
        final boolean close;
        Response(int status, byte[] body) { this(status, body, false); }
        Response(int status, byte[] body, boolean close) { this.status = status; this.body = body; this.close = close; }
        static Response of(int status, Object value) { return new Response(status, Cbor.encode(value)); }
    }

    /** Returns the response, or null to close the connection without one. */
    interface Handler { Response handle(Request request) throws Exception; }

    static final class Server {
        final int port;
        final ServerSocket socket;
        Server(Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(LOOPBACK, 0), 500);
            port = socket.getLocalPort();
            daemon(() -> {
                while (true) {
                    Socket s;
                    try { s = socket.accept(); } catch (IOException e) { return; }
                    daemon(() -> serve(s, handler));
                }
            });
        }
        String address() { return "127.0.0.1:" + port; }
    }

    static void daemon(Runnable r) {
        Thread t = new Thread(null, r, "standin", 256 * 1024);
        t.setDaemon(true);
        t.start();
    }

    private static void serve(Socket s, Handler handler) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream(), 16384);
            while (true) {
                String line = line(in);
                if (line == null) return;
                String[] parts = line.split(" ");
                int length = 0;
                boolean close = false;
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    String lower = h.toLowerCase();
                    if (lower.startsWith("content-length:")) length = Integer.parseInt(h.substring(15).trim());
                    if (lower.startsWith("connection:") && lower.contains("close")) close = true;
                }
                byte[] body = in.readNBytes(length);
                String target = parts[1];
                int q = target.indexOf('?');
                Map<String, String> query = new HashMap<>();
                if (q >= 0) for (String pair : target.substring(q + 1).split("&")) {
                    int eq = pair.indexOf('=');
                    if (eq > 0) query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
                }
                Response r = handler.handle(new Request(parts[0], q < 0 ? target : target.substring(0, q), query, body));
                if (r == null) return;
                ByteArrayOutputStream out = new ByteArrayOutputStream(r.body.length + 128);
                out.writeBytes(("HTTP/1.1 " + r.status + " X\r\nContent-Type: application/cbor\r\nContent-Length: " + r.body.length
                    + (close || r.close ? "\r\nConnection: close" : "") + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.writeBytes(r.body);
                s.getOutputStream().write(out.toByteArray());
                s.getOutputStream().flush();
                if (close || r.close) return;
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            System.err.println("stand-in failed: " + e);
            e.printStackTrace();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                if (b.length() > 0 && b.charAt(b.length() - 1) == '\r') b.setLength(b.length() - 1);
                return b.toString();
            }
            b.append((char) c);
        }
        return null;
    }

    /** One connection to a server, opened again after a failure. Used by one thread. */
    static final class Client {
        private final String host;
        private final int port;
        private Socket socket;
        private InputStream in;
        Client(String address) {
            int colon = address.lastIndexOf(':');
            host = address.substring(0, colon);
            port = Integer.parseInt(address.substring(colon + 1));
        }

        /** Returns the response, or null without one within the time. */
        Response send(String method, String path, Object body, int timeoutMs) {
            return sendBytes(method, path, body == null ? null : Cbor.encode(body), timeoutMs);
        }

        Response sendBytes(String method, String path, byte[] bytes, int timeoutMs) {
            long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(host, port), timeoutMs);
                    in = new BufferedInputStream(socket.getInputStream(), 16384);
                }
                socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes((method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port + "\r\n"
                    + (bytes == null ? "" : "Content-Type: application/cbor\r\nContent-Length: " + bytes.length + "\r\n") + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                if (bytes != null) out.writeBytes(bytes);
                socket.getOutputStream().write(out.toByteArray());
                String status = line(in);
                if (status == null) throw new IOException("closed");
                int length = 0;
                boolean close = false;
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    String lower = h.toLowerCase();
                    if (lower.startsWith("content-length:")) length = Integer.parseInt(h.substring(15).trim());
                    if (lower.startsWith("connection:") && lower.contains("close")) close = true;
                }
                byte[] content = in.readNBytes(length);
                if (content.length < length) throw new IOException("closed");
                if (close) close();
                return new Response(Integer.parseInt(status.split(" ")[1]), content);
            } catch (IOException e) {
                close();
                return null;
            }
        }

        void close() {
            try { if (socket != null) socket.close(); } catch (IOException e) { /* closed already */ }
            socket = null;
        }
    }
}

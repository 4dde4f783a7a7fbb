import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An application endpoint as PROTOCOL.md describes it: it echoes the id of a request, seals its
 * responses, rejects what it does not run with X-Not-Executed, and sends heartbeats to its node.
 */
class Endpoint implements AutoCloseable {
    final String id;
    final String service;
    final Lab lab;
    final Lab.Node node;
    private final int slots;
    private final String zone;
    private final long bornMillis = System.currentTimeMillis();
    private final ServerSocket listener;
    private final AtomicInteger busy = new AtomicInteger();
    private volatile boolean ended;

    Endpoint(Lab lab, Lab.Node node, String id, String service, String zone, int slots)
            throws IOException {
        this.lab = lab;
        this.node = node;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::beat);
    }

    /** Runs a request and answers it. Called after the request was accepted. */
    void run(Http.Message request, Http.Connection connection) throws IOException {
        lab.log("run", request.header("X-Request-Id") + " at " + id);
        answer(connection, request, 200, "ok".getBytes());
    }

    /** Answers with a seal over the body. */
    void answer(Http.Connection connection, Http.Message request, int status, byte[] body)
            throws IOException {
        Http.writeHead(
                connection.out,
                "HTTP/1.1 " + status + " -",
                "X-Request-Id",
                request.header("X-Request-Id"),
                "X-Response-Seal",
                seal(body),
                "Content-Length",
                Integer.toString(body.length));
        connection.out.write(body);
        connection.out.flush();
    }

    /** The signature of a body, which a client can check. */
    static String seal(byte[] body) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(body);
            return HexFormat.of().formatHex(hash, 0, 8) + "." + body.length;
        } catch (NoSuchAlgorithmException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Http.Connection connection = new Http.Connection(socket)) {
            while (!socket.isClosed()) {
                Http.Message request = Http.read(connection.in, false);
                if (request.complete) {
                    handle(request, connection);
                }
            }
        } catch (IOException ended) {
            // The caller has closed its connection.
        }
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException {
        String expected = request.header("X-Expected-Instance");
        String requestId = request.header("X-Request-Id");
        if (request.path().equals("/health")) {
            Http.writeHead(
                    connection.out,
                    "HTTP/1.1 200 OK",
                    "X-Instance-Id",
                    id,
                    "Content-Length",
                    "0");
            connection.out.flush();
        } else if (expected != null && !expected.equals(id)) {
            reject(connection, request, 421, "X-Instance-Id", id);
        } else if (requestId == null) {
            reject(connection, request, 400, "X-Not-Executed", "1");
        } else if (busy.incrementAndGet() > slots) {
            busy.decrementAndGet();
            reject(connection, request, 503, "X-Not-Executed", "1");
        } else {
            try {
                run(request, connection);
            } finally {
                busy.decrementAndGet();
            }
        }
    }

    private void reject(
            Http.Connection connection, Http.Message request, int status, String name, String value)
            throws IOException {
        lab.log("reject", request.header("X-Request-Id") + " at " + id + " with " + status);
        String echoed = request.header("X-Request-Id");
        Http.writeHead(
                connection.out,
                "HTTP/1.1 " + status + " -",
                name,
                value,
                "X-Request-Id",
                echoed == null ? "" : echoed,
                "Content-Length",
                "0");
        connection.out.flush();
    }

    private void beat() {
        for (int sequence = 1; !ended; sequence++) {
            // The calls and names of deploy/wire.toml.
            String body =
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                                    .formatted(
                                            service,
                                            Lab.format(
                                                    (InetSocketAddress)
                                                            listener.getLocalSocketAddress()),
                                            zone,
                                            slots)
                            + "\"state\":\"ready\",\"warmUpSeconds\":0,\"sequence\":%d,\"born\":%d}"
                                    .formatted(sequence, bornMillis);
            try (Http.Connection connection = Http.Connection.open(node.control, 1_000)) {
                connection.socket.setSoTimeout(1_000);
                Http.writeHead(
                        connection.out,
                        "PUT /.arbutuslock/announcements/" + id + " HTTP/1.1",
                        "Host",
                        "control",
                        "Content-Type",
                        "application/json",
                        "Connection",
                        "close",
                        "Content-Length",
                        Integer.toString(body.length()));
                connection.out.write(body.getBytes());
                connection.out.flush();
                Http.read(connection.in, true);
                Lab.sleep(1_500);
            } catch (IOException unreachable) {
                Lab.sleep(300);
            }
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
    }
}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a second safe request on a connection while the first one is still at work. The node
 * that takes them gets a SIGTERM in between.
 */
final class Ahead {
    private static final int ENDPOINTS = 4;
    private static final int CLIENTS = 12;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final long WORK_MILLIS = 1_200;
    /** The bound lossSlackS of the site file. */
    private static final double LOSS_SLACK_SECONDS = 0.2;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new Ahead().play(lab);
        }
        System.exit(result);
    }

    private static final class DeskEndpoint extends Endpoint {
        DeskEndpoint(Lab lab, Lab.Node node, String id) throws IOException {
            super(lab, node, id, "inventory-desk", "calgary-a", 5);
        }

        @Override
        void run(Http.Message request, Http.Connection connection) throws IOException {
            lab.log("run", request.header("X-Request-Id") + " at " + id);
            Lab.sleep(WORK_MILLIS);
            answer(connection, request, 200, ("stock " + request.path()).getBytes());
        }
    }

    private int play(Lab lab) throws Exception {
        Lab.Node entry =
                lab.startNode("sidecar-calgary-a-1", "order-hub", "calgary-a", "west-prairie");
        List<Endpoint> endpoints = new ArrayList<>();
        for (int index = 0; index < ENDPOINTS; index++) {
            Lab.Node node =
                    lab.startNode(
                            "sidecar-calgary-a-" + (index + 2),
                            "inventory-desk",
                            "calgary-a",
                            "west-prairie");
            endpoints.add(new DeskEndpoint(lab, node, "i-" + index + "b23e6"));
        }
        lab.store.put(
                "op/config",
                """
                {"version":"r7","routes":[{"name":"r-stock","host":"stock.example",
                "prefix":"/stock/","kind":"safe","timeoutS":8,"targetLatencyS":4,
                "priority":2,"service":"inventory-desk","maxAttempts":2}],
                "services":[{"name":"inventory-desk","healthPath":"/health","maxConnections":330,
                "protocol":"h1","tls":false},{"name":"order-hub","healthPath":"/health",
                "maxConnections":330,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
                "idleTimeoutS":15}}""");
        if (!lab.awaitReady(30)) {
            lab.log("result", "the nodes did not become ready");
            return 2;
        }
        Lab.sleep(9_000);
        lab.startTraffic();
        for (int round = 0; round < 3; round++) {
            playRound(lab, entry);
        }
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        lab.log(
                "result",
                answered.get()
                        + " requests answered, "
                        + lost.get()
                        + " requests read and lost with their connection");
        if (answered.get() < CLIENTS) {
            return 2;
        }
        return lost.get() == 0 ? 0 : 1;
    }

    private void playRound(Lab lab, Lab.Node entry) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            clients.add(Thread.ofVirtual().start(() -> sendTwo(lab, entry)));
        }
        Lab.sleep(200);
        if (lab.trouble) {
            lab.signal(entry, "TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        if (lab.trouble) {
            entry.process.waitFor();
            lab.log("ended", entry.name);
            lab.start(entry);
            lab.awaitReady(20);
            Lab.sleep(6_000);
        }
    }

    private void sendTwo(Lab lab, Lab.Node entry) {
        List<String> unanswered = new ArrayList<>();
        double lastByte = 0;
        try (Http.Connection connection = Http.Connection.open(entry.outbound, 1_000)) {
            connection.socket.setSoTimeout(DEADLINE_MILLIS);
            unanswered.add(send(lab, connection, "first"));
            Lab.sleep(500);
            unanswered.add(send(lab, connection, "second"));
            lastByte = lab.seconds();
            while (!unanswered.isEmpty()) {
                Http.Message answer = Http.read(connection.in, true);
                if (!answer.complete) {
                    throw new IOException("the answer is incomplete");
                }
                String requestId = unanswered.removeFirst();
                lab.log(
                        "answered",
                        requestId
                                + " "
                                + answer.status()
                                + " connection "
                                + answer.header("Connection"));
                answered.incrementAndGet();
            }
        } catch (IOException ended) {
            double after = lab.seconds() - lastByte;
            for (String requestId : unanswered) {
                boolean late = lastByte > 0 && after > LOSS_SLACK_SECONDS;
                lab.log(
                        late ? "broken" : "ended",
                        "LOST: %s has no answer; its connection ended %.3f s after its last byte: %s"
                                .formatted(requestId, after, ended.getMessage()));
                if (late) {
                    lost.incrementAndGet();
                }
            }
        }
    }

    private static String send(Lab lab, Http.Connection connection, String path)
            throws IOException {
        String requestId = Client.newId();
        Http.writeHead(
                connection.out,
                "GET /stock/" + path + " HTTP/1.1",
                "Host",
                "stock.example",
                "X-Request-Id",
                requestId,
                "X-Deadline-Ms",
                Integer.toString(DEADLINE_MILLIS));
        connection.out.flush();
        lab.log("sent", requestId + " " + path);
        return requestId;
    }
}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients download bundles from sound endpoints, and the node that takes their requests gets a
 * SIGTERM meanwhile. One more client sends small safe requests that have 300 short header fields,
 * within the limit of the configuration.
 */
final class Fields {
    private static final int ENDPOINTS = 4;
    private static final int CLIENTS = 8;
    private static final int ROUNDS = 5;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int BUNDLE_BYTES = 512 * 1024;
    private static final int PARTS = 16;
    private static final long PART_MILLIS = 100;
    private static final int FIELDS = 300;
    private static final int PRICES = 10;
    private static final long PAUSE_MILLIS = 150;

    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger otherAnswers = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new Fields().play(lab);
        }
        System.exit(result);
    }

    private static byte[] bundle(String path) {
        byte[] bytes = new byte[BUNDLE_BYTES];
        new Random(path.hashCode()).nextBytes(bytes);
        return bytes;
    }

    private static final class ShelfEndpoint extends Endpoint {
        ShelfEndpoint(Lab lab, Lab.Node node, String id) throws IOException {
            super(lab, node, id, "content-shelf", "calgary-a", 5);
        }

        @Override
        void run(Http.Message request, Http.Connection connection) throws IOException {
            lab.log("run", request.header("X-Request-Id") + " at " + id);
            if (!request.path().startsWith("/packs/")) {
                answer(connection, request, 200, "price".getBytes());
                return;
            }
            byte[] body = bundle(request.path());
            Http.writeHead(
                    connection.out,
                    "HTTP/1.1 200 OK",
                    "X-Request-Id",
                    request.header("X-Request-Id"),
                    "X-Response-Seal",
                    seal(body),
                    "Content-Length",
                    Integer.toString(body.length));
            for (int part = 0; part < PARTS; part++) {
                connection.out.write(body, part * BUNDLE_BYTES / PARTS, BUNDLE_BYTES / PARTS);
                connection.out.flush();
                Lab.sleep(PART_MILLIS);
            }
        }
    }

    private int play(Lab lab) throws Exception {
        Lab.Node desk =
                lab.startNode("sidecar-calgary-a-1", "inventory-desk", "calgary-a", "west-prairie");
        List<Endpoint> endpoints = new ArrayList<>();
        for (int index = 0; index < ENDPOINTS; index++) {
            Lab.Node node =
                    lab.startNode(
                            "sidecar-calgary-a-" + (index + 2),
                            "content-shelf",
                            "calgary-a",
                            "west-prairie");
            endpoints.add(new ShelfEndpoint(lab, node, "i-" + index + "c4d07"));
        }
        lab.store.put(
                "op/config",
                """
                {"version":"r7","routes":[{"name":"r-pack","host":"packs.example",
                "prefix":"/packs/","kind":"download","timeoutS":8,"targetLatencyS":4,
                "priority":2,"service":"content-shelf","maxAttempts":2},{"name":"r-price",
                "host":"packs.example","prefix":"/prices/","kind":"safe","timeoutS":8,
                "targetLatencyS":4,"priority":1,"service":"content-shelf","maxAttempts":2}],
                "services":[{"name":"content-shelf","healthPath":"/health","maxConnections":330,
                "protocol":"h1","tls":false},{"name":"inventory-desk","healthPath":"/health",
                "maxConnections":330,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
                "idleTimeoutS":15}}""");
        if (!lab.awaitReady(30)) {
            lab.log("result", "the nodes did not become ready");
            return 2;
        }
        Lab.sleep(9_000);
        lab.startTraffic();
        for (int round = 0; round < ROUNDS; round++) {
            playRound(lab, desk);
        }
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        lab.log(
                "result",
                complete.get()
                        + " downloads complete, "
                        + lost.get()
                        + " ended with their connection and without a complete answer, "
                        + otherAnswers.get()
                        + " answered otherwise");
        if (complete.get() + lost.get() < CLIENTS) {
            return 2;
        }
        return lost.get() > 0 ? 1 : 0;
    }

    private void playRound(Lab lab, Lab.Node desk) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int number = index;
            clients.add(Thread.ofVirtual().start(() -> download(lab, desk, number)));
        }
        Lab.sleep(300);
        lab.signal(desk, "TERM");
        clients.add(Thread.ofVirtual().start(() -> askPrices(lab, desk)));
        for (Thread client : clients) {
            client.join();
        }
        desk.process.waitFor();
        lab.log("ended", desk.name);
        lab.start(desk);
        lab.awaitReady(20);
        Lab.sleep(5_000);
    }

    private void download(Lab lab, Lab.Node desk, int number) {
        Client client = new Client(lab, desk);
        String path = "/packs/" + number;
        Client.Attempt sent =
                client.send("GET", "packs.example", path, new byte[0], DEADLINE_MILLIS);
        if (sent.answer() == null) {
            lost.incrementAndGet();
            lab.log("broken", "LOST: " + sent.requestId() + " got no complete answer");
        } else if (sent.answer().status() == 200
                && Arrays.equals(sent.answer().body, bundle(path))) {
            complete.incrementAndGet();
        } else {
            otherAnswers.incrementAndGet();
        }
        client.drop();
    }

    /** Sends small requests: with 300 header fields, or with one field of the same size. */
    private void askPrices(Lab lab, Lab.Node desk) {
        StringBuilder value = new StringBuilder();
        List<String> fields = new ArrayList<>();
        for (int index = 0; index < FIELDS; index++) {
            fields.add("X-Tag-" + index);
            fields.add("on");
            value.append("X-Tag-").append(index).append("=on,");
        }
        if (!lab.trouble) {
            fields = List.of("X-Tags", value.toString());
        }
        for (int count = 0; count < PRICES; count++) {
            String requestId = Client.newId();
            List<String> all = new ArrayList<>();
            all.addAll(List.of("Host", "packs.example", "X-Request-Id", requestId));
            all.addAll(List.of("X-Deadline-Ms", Integer.toString(DEADLINE_MILLIS)));
            all.addAll(List.of("Connection", "close"));
            all.addAll(fields);
            lab.log("sent", requestId + " price with " + all.size() / 2 + " header fields");
            try (Http.Connection connection = Http.Connection.open(desk.outbound, 1_000)) {
                connection.socket.setSoTimeout(DEADLINE_MILLIS);
                Http.writeHead(
                        connection.out, "GET /prices/1 HTTP/1.1", all.toArray(String[]::new));
                connection.out.flush();
                lab.log("answered", requestId + " " + Http.read(connection.in, true).first);
            } catch (IOException ended) {
                lab.log("answered", requestId + " nothing: " + ended.getMessage());
            }
            Lab.sleep(PAUSE_MILLIS);
        }
    }
}

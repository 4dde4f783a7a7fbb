import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients download bundles of 256 KiB on a route of kind download. Half of the endpoints already
 * run version v2 of their software, whose bundles have the same length and other bytes near their
 * end. Half of the endpoints break off a few of their answers midway.
 */
final class Downloads {
    private static final int ENDPOINTS = 4;
    private static final int CLIENTS = 12;
    private static final double BROKEN_SHARE = 0.02;
    private static final int SECONDS = 60;
    private static final int DEADLINE_MILLIS = 8_000;
    private static final int BUNDLE_BYTES = 256 * 1024;
    private static final int SENT_BYTES = 160 * 1024;
    private static final int STAMP_BYTES = 64;

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[1]);
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), folder)) {
            result = new Downloads().play(lab);
        }
        System.exit(result);
    }

    private final Map<String, List<byte[]>> wholeBodies = new ConcurrentHashMap<>();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();

    /** The bundle of a path: every endpoint has the same one, except for the stamp at its end. */
    private static byte[] bundle(String path, String version) {
        byte[] bytes = new byte[BUNDLE_BYTES];
        new Random(path.hashCode()).nextBytes(bytes);
        byte[] stamp = new byte[STAMP_BYTES];
        Arrays.fill(stamp, (byte) ' ');
        byte[] text = ("bundle " + path + " made by " + version).getBytes();
        System.arraycopy(text, 0, stamp, 0, Math.min(text.length, STAMP_BYTES));
        System.arraycopy(stamp, 0, bytes, BUNDLE_BYTES - STAMP_BYTES, STAMP_BYTES);
        return bytes;
    }

    private final class ShelfEndpoint extends Endpoint {
        private final String version;
        private final boolean breaking;

        ShelfEndpoint(Lab lab, Lab.Node node, String id, String version, boolean breaking)
                throws IOException {
            super(lab, node, id, "content-shelf", "calgary-a", 5);
            this.version = version;
            this.breaking = breaking;
        }

        @Override
        void run(Http.Message request, Http.Connection connection) throws IOException {
            String requestId = request.header("X-Request-Id");
            byte[] body = bundle(request.path(), version);
            boolean breaks =
                    breaking
                            && lab.isTroubled()
                            && ThreadLocalRandom.current().nextDouble() < BROKEN_SHARE;
            lab.log("run", requestId + " at " + id + " " + version + (breaks ? " breaks off" : ""));
            wholeBodies.computeIfAbsent(requestId, key -> new ArrayList<>()).add(body);
            Lab.sleep(20 + ThreadLocalRandom.current().nextInt(40));
            if (!breaks) {
                answer(connection, request, 200, body);
                return;
            }
            broken.incrementAndGet();
            Http.writeHead(
                    connection.out,
                    "HTTP/1.1 200 OK",
                    "X-Request-Id",
                    requestId,
                    "X-Response-Seal",
                    seal(body),
                    "Content-Length",
                    Integer.toString(body.length));
            connection.out.write(body, 0, SENT_BYTES);
            connection.out.flush();
            Lab.sleep(50);
            connection.close();
        }
    }

    private int play(Lab lab) throws Exception {
        List<Endpoint> endpoints = new ArrayList<>();
        Lab.Node desk =
                lab.startNode("sidecar-calgary-a-1", "inventory-desk", "calgary-a", "west-prairie");
        for (int index = 0; index < ENDPOINTS; index++) {
            Lab.Node node =
                    lab.startNode(
                            "sidecar-calgary-a-" + (index + 2),
                            "content-shelf",
                            "calgary-a",
                            "west-prairie");
            String version = index % 2 == 0 ? "v1" : "v2";
            boolean breaking = index < ENDPOINTS / 2;
            endpoints.add(new ShelfEndpoint(lab, node, "i-" + index + "c4d07", version, breaking));
        }
        lab.store.put(
                "op/config",
                """
                {"version":"r7","routes":[{"name":"r-pack","host":"packs.example",
                "prefix":"/packs/","kind":"download","timeoutS":8,"targetLatencyS":2,
                "priority":2,"service":"content-shelf","maxAttempts":2}],
                "services":[{"name":"content-shelf","healthPath":"/health","maxConnections":330,
                "protocol":"h1","tls":false},{"name":"inventory-desk","healthPath":"/health",
                "maxConnections":330,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
                "idleTimeoutS":15}}""");
        if (!lab.awaitReady(30)) {
            lab.log("result", "the nodes did not become ready");
            return 2;
        }
        Lab.sleep(6_000);
        lab.startTraffic();
        double end = lab.seconds() + SECONDS;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int number = index;
            clients.add(Thread.ofVirtual().start(() -> download(lab, desk, number, end)));
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        lab.log(
                "result",
                complete.get()
                        + " complete answers, "
                        + broken.get()
                        + " broken off by endpoints, "
                        + mixed.get()
                        + " complete answers with the seal of one endpoint and the body of another");
        if (complete.get() < 100) {
            return 2;
        }
        return mixed.get() == 0 ? 0 : 1;
    }

    private void download(Lab lab, Lab.Node desk, int number, double end) {
        Client client = new Client(lab, desk);
        for (int count = 0; lab.seconds() < end; count++) {
            String path = "/packs/" + number + "/" + count;
            Client.Attempt sent =
                    client.send("GET", "packs.example", path, new byte[0], DEADLINE_MILLIS);
            if (sent.answer() != null && sent.answer().status() == 200) {
                check(lab, sent);
            } else {
                client.drop();
            }
            Lab.sleep(50 + ThreadLocalRandom.current().nextInt(50));
        }
        client.drop();
    }

    /** A success must be the whole body of one endpoint, under the seal of that body. */
    private void check(Lab lab, Client.Attempt sent) {
        complete.incrementAndGet();
        byte[] body = sent.answer().body;
        String seal = sent.answer().header("X-Response-Seal");
        boolean whole =
                wholeBodies.getOrDefault(sent.requestId(), List.of()).stream()
                        .anyMatch(sentBody -> Arrays.equals(sentBody, body));
        if (!whole || !Endpoint.seal(body).equals(seal)) {
            mixed.incrementAndGet();
            lab.log(
                    "broken",
                    "MIXED: "
                            + sent.requestId()
                            + " has the seal "
                            + seal
                            + " over "
                            + (whole ? "the body of another endpoint" : "a body of no endpoint")
                            + ", whose seal is "
                            + Endpoint.seal(body)
                            + ", its end: "
                            + new String(body, body.length - STAMP_BYTES, STAMP_BYTES).strip());
        }
    }
}

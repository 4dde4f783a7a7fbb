import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Clients place orders on a route of kind non_idempotent, and some of the eight endpoints are
 * faulty. Checks TWICE, REFUSED and MIXED by the ids of the requests.
 */
final class Orders {
    private static final int ENDPOINTS = 8;
    private static final int CLIENTS = 12;
    private static final int SECONDS = 70;
    private static final int DEADLINE_MILLIS = 8_000;

    /** What the faulty endpoints do with a part of their requests. */
    private enum Fault {
        /** They run the order, a step behind it fails, and they answer 503 without X-Not-Executed. */
        FAIL(1, 0.4),
        /**
         * They send additional bytes after a complete answer, late: a rejection without an id, at
         * the point where the next answer on the connection is expected.
         */
        EXTRA(4, 0.03),
        /**
         * Their answer is sound, but for its head: it bears 300 more header fields, or an interim
         * response of HTTP/1.1 comes before it.
         */
        HEADS(4, 0.04);

        private final int endpoints;
        private final double share;

        Fault(int endpoints, double share) {
            this.endpoints = endpoints;
            this.share = share;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[1]);
        Fault fault = Fault.valueOf(arguments[2]);
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), folder)) {
            result = new Orders(fault).play(lab);
        }
        System.exit(result);
    }

    private final Fault fault;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Set<String> ranTwice = ConcurrentHashMap.newKeySet();
    private final Set<String> foreign = ConcurrentHashMap.newKeySet();
    private final Set<Http.Connection> extraDue = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedAfterRun = ConcurrentHashMap.newKeySet();
    private final Map<String, List<String>> runsOfOrder = new ConcurrentHashMap<>();
    private final Set<String> served = ConcurrentHashMap.newKeySet();

    private Orders(Fault fault) {
        this.fault = fault;
    }

    private final class OrderEndpoint extends Endpoint {
        private final boolean faulty;

        OrderEndpoint(Lab lab, Lab.Node node, String id, boolean faulty) throws IOException {
            super(lab, node, id, "order-hub", "calgary-a", 5);
            this.faulty = faulty;
        }

        @Override
        void run(Http.Message request, Http.Connection connection) throws IOException {
            String requestId = request.header("X-Request-Id");
            String order = new String(request.body);
            lab.log("run", requestId + " " + order + " at " + id);
            if (!ran.add(requestId)) {
                ranTwice.add(requestId);
            }
            runsOfOrder.computeIfAbsent(order, key -> new ArrayList<>()).add(requestId);
            if (extraDue.remove(connection)) {
                lab.log("fault", id + " sends additional bytes behind its previous answer");
                Http.writeHead(
                        connection.out,
                        "HTTP/1.1 503 Service Unavailable",
                        "X-Not-Executed",
                        "1",
                        "Content-Length",
                        "0");
                connection.out.flush();
            }
            Lab.sleep(100 + ThreadLocalRandom.current().nextInt(100));
            boolean strikes =
                    faulty
                            && lab.isTroubled()
                            && ThreadLocalRandom.current().nextDouble() < fault.share;
            if (strikes && fault == Fault.FAIL) {
                lab.log("fault", requestId + " at " + id + " fails with 503, though it ran");
                answer(connection, request, 503, "the step behind the order failed".getBytes());
                return;
            }
            if (strikes && fault == Fault.HEADS && ThreadLocalRandom.current().nextBoolean()) {
                lab.log("fault", requestId + " at " + id + " gets an answer with 300 more fields");
                answerWithManyFields(connection, request, ("placed " + order).getBytes());
                return;
            }
            if (strikes && fault == Fault.HEADS) {
                lab.log("fault", requestId + " at " + id + " gets an interim response first");
                Http.writeHead(connection.out, "HTTP/1.1 102 Processing");
                connection.out.flush();
                Lab.sleep(20);
            }
            if (strikes && fault == Fault.EXTRA) {
                extraDue.add(connection);
            }
            answer(connection, request, 200, ("placed " + order).getBytes());
        }

        private void answerWithManyFields(
                Http.Connection connection, Http.Message request, byte[] body) throws IOException {
            List<String> fields = new ArrayList<>();
            fields.addAll(List.of("X-Request-Id", request.header("X-Request-Id")));
            fields.addAll(List.of("X-Response-Seal", seal(body)));
            fields.addAll(List.of("Content-Length", Integer.toString(body.length)));
            for (int index = 0; index < 300; index++) {
                fields.addAll(List.of("X-Tag-" + index, "on"));
            }
            Http.writeHead(connection.out, "HTTP/1.1 200 OK", fields.toArray(String[]::new));
            connection.out.write(body);
            connection.out.flush();
        }
    }

    private int play(Lab lab) throws Exception {
        List<Endpoint> endpoints = new ArrayList<>();
        Lab.Node desk = lab.startNode("sidecar-calgary-a-1", "inventory-desk", "calgary-a", "west-prairie");
        for (int index = 0; index < ENDPOINTS; index++) {
            Lab.Node node =
                    lab.startNode(
                            "sidecar-calgary-a-" + (index + 2), "order-hub", "calgary-a", "west-prairie");
            boolean faulty = index < fault.endpoints;
            endpoints.add(new OrderEndpoint(lab, node, "i-" + index + "a91c2", faulty));
        }
        lab.store.put(
                "op/config",
                """
                {"version":"r7","routes":[{"name":"r-order","host":"orders.example",
                "prefix":"/orders/","kind":"non_idempotent","timeoutS":8,"targetLatencyS":2,
                "priority":1,"service":"order-hub","maxAttempts":2}],
                "services":[{"name":"order-hub","healthPath":"/health","maxConnections":330,
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
            clients.add(Thread.ofVirtual().start(() -> placeOrders(lab, desk, number, end)));
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        return judge(lab);
    }

    private void placeOrders(Lab lab, Lab.Node desk, int number, double end) {
        Client client = new Client(lab, desk);
        for (int count = 0; lab.seconds() < end; count++) {
            placeOrder(lab, client, "order-" + number + "-" + count);
            Lab.sleep(100 + ThreadLocalRandom.current().nextInt(200));
        }
        client.drop();
    }

    /** Places an order and repeats it after a promise, as clients do within their deadline. */
    private void placeOrder(Lab lab, Client client, String order) {
        double deadline = lab.seconds() + DEADLINE_MILLIS / 1_000.0;
        for (int attempt = 0; attempt < 3; attempt++) {
            double left = deadline - lab.seconds();
            Client.Attempt sent =
                    client.send(
                            "POST",
                            "orders.example",
                            "/orders/new",
                            order.getBytes(),
                            (int) (left * 1_000));
            if (sent.answer() != null && sent.answer().status() == 200) {
                served.add(order);
                return;
            }
            if (sent.answer() != null && !sent.answer().first.matches("HTTP/1.1 [2-5][0-9]{2} .*")) {
                foreign.add(sent.requestId() + " got \"" + sent.answer().first + "\"");
            }
            if (!Client.isPromise(sent.answer())) {
                return;
            }
            if (ran.contains(sent.requestId())) {
                refusedAfterRun.add(sent.requestId());
            }
            client.drop();
            String after = sent.answer().header("Retry-After");
            double wait = after == null ? 0.2 : Double.parseDouble(after);
            Lab.sleep((long) (1_000 * Math.min(wait, (deadline - lab.seconds()) / 3)));
        }
    }

    private int judge(Lab lab) {
        List<String> doubled = new ArrayList<>();
        runsOfOrder.forEach(
                (order, runs) -> {
                    if (runs.size() > 1) {
                        doubled.add(order + " ran as " + runs);
                    }
                });
        for (String requestId : ranTwice) {
            lab.log("broken", "TWICE: " + requestId + " ran more than once");
        }
        for (String requestId : refusedAfterRun) {
            lab.log("broken", "REFUSED: " + requestId + " was answered 503 and has run");
        }
        for (String answer : foreign) {
            lab.log("broken", "MIXED: " + answer + ", which is no answer in the protocol");
        }
        doubled.forEach(order -> lab.log("doubled", order));
        lab.log(
                "result",
                ran.size()
                        + " requests ran, "
                        + served.size()
                        + " orders served, "
                        + ranTwice.size()
                        + " requests ran twice, "
                        + refusedAfterRun.size()
                        + " refused though they ran, "
                        + foreign.size()
                        + " answers that are none, "
                        + doubled.size()
                        + " orders ran more than once");
        if (served.size() < 100) {
            return 2;
        }
        return ranTwice.isEmpty() && refusedAfterRun.isEmpty() && foreign.isEmpty() ? 0 : 1;
    }
}

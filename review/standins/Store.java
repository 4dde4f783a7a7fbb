import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL.md describes it: sound, without any fault. */
final class Store implements AutoCloseable {
    private record Item(String value, long revision, long createRevision, long lease) {}

    private record Lease(double seconds, long endNanos) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, String> history = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ServerSocket listener;
    private long revision = 1;

    Store() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::expire);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Writes a value as the operator does. */
    synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private synchronized void put(String key, String value, long lease) {
        Item before = items.get(key);
        long next = ++revision;
        items.put(key, new Item(value, next, before == null ? next : before.createRevision, lease));
        history.put(next, describe(key));
        notifyAll();
    }

    private synchronized void remove(String key) {
        if (items.remove(key) != null) {
            long next = ++revision;
            history.put(
                    next, "{\"key\":\"" + key + "\",\"revision\":" + next + ",\"deleted\":true}");
            notifyAll();
        }
    }

    private String describe(String key) {
        Item item = items.get(key);
        return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"createRev\":%d,\"lease\":%d"
                        .formatted(key, item.value, item.revision, item.createRevision, item.lease)
                + "}";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void expire() {
        while (!listener.isClosed()) {
            Lab.sleep(50);
            synchronized (this) {
                long now = System.nanoTime();
                leases.values().removeIf(lease -> lease.endNanos - now < 0);
                removeUnleased();
            }
        }
    }

    private void removeUnleased() {
        List<String> ended = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (item.lease != 0 && !leases.containsKey(item.lease)) {
                        ended.add(key);
                    }
                });
        ended.forEach(this::remove);
    }

    private void serve(Socket socket) {
        try (Http.Connection connection = new Http.Connection(socket)) {
            while (true) {
                Http.Message request = Http.read(connection.in, false);
                StringBuilder body = new StringBuilder();
                int status = handle(request, body);
                byte[] bytes = body.isEmpty() ? new byte[] {'{', '}'} : body.toString().getBytes();
                Http.writeHead(
                        connection.out,
                        "HTTP/1.1 " + status + " -",
                        "Content-Type",
                        "application/json",
                        "Content-Length",
                        Integer.toString(bytes.length));
                connection.out.write(bytes);
                connection.out.flush();
            }
        } catch (IOException ended) {
            // The caller has closed its connection.
        }
    }

    private static Map<String, String> query(String path) {
        Map<String, String> fields = new HashMap<>();
        int start = path.indexOf('?');
        if (start >= 0) {
            for (String field : path.substring(start + 1).split("&")) {
                String[] parts = field.split("=", 2);
                fields.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return fields;
    }

    private synchronized int handle(Http.Message request, StringBuilder body) {
        Map<String, String> query = query(request.path());
        String path = request.path().split("\\?")[0];
        if (path.startsWith("/kv-keep/")) {
            return renew(Long.parseLong(path.substring("/kv-keep/".length())), body);
        }
        if (path.startsWith("/kv-lease-end/")) {
            leases.remove(Long.parseLong(path.substring("/kv-lease-end/".length())));
            removeUnleased();
            return 200;
        }
        switch (path) {
            case "/kv-key" -> {
                if (!items.containsKey(query.get("key"))) {
                    return 404;
                }
                String item = describe(query.get("key"));
                body.append(item, 0, item.length() - 1).append(",\"at\":" + revision + "}");
                return 200;
            }
            case "/kv-range" -> {
                List<String> found = new ArrayList<>();
                String after = query.getOrDefault("after", "");
                for (String key : items.keySet()) {
                    if (key.startsWith(query.get("prefix")) && key.compareTo(after) > 0) {
                        found.add(describe(key));
                    }
                }
                body.append("{\"items\":[").append(String.join(",", found));
                body.append("],\"hasMore\":false,\"at\":" + revision + "}");
                return 200;
            }
            case "/kv-watch" -> {
                return watch(query, body);
            }
            case "/kv-lease" -> {
                Map<?, ?> read = (Map<?, ?>) Json.parse(new String(request.body));
                double seconds = Math.clamp((Double) read.get("ttlS"), 1, 600);
                long lease = ++revision;
                leases.put(lease, lease(seconds));
                body.append("{\"lease\":" + lease + ",\"ttlS\":" + seconds + "}");
                return 200;
            }
            case "/kv-txn" -> {
                return transact((Map<?, ?>) Json.parse(new String(request.body)), body);
            }
            default -> {
                return 404;
            }
        }
    }

    private static Lease lease(double seconds) {
        return new Lease(seconds, System.nanoTime() + (long) (seconds * 1e9));
    }

    private int renew(long lease, StringBuilder body) {
        Lease held = leases.get(lease);
        if (held == null) {
            return 404;
        }
        leases.put(lease, lease(held.seconds));
        body.append("{\"ttlS\":" + held.seconds + "}");
        return 200;
    }

    private int watch(Map<String, String> query, StringBuilder body) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (String event : history.tailMap(after, false).values()) {
                if (event.startsWith("{\"key\":\"" + query.get("prefix"))) {
                    events.add(event);
                }
            }
            if (!events.isEmpty() || System.nanoTime() - end > 0) {
                body.append("{\"events\":[").append(String.join(",", events));
                body.append("],\"at\":" + revision + "}");
                return 200;
            }
            try {
                wait(50);
            } catch (InterruptedException interrupted) {
                return 503;
            }
        }
    }

    private int transact(Map<?, ?> call, StringBuilder body) {
        for (Object row : (List<?>) call.get("expectedRev")) {
            String key = (String) ((Map<?, ?>) row).get("key");
            long expected = ((Double) ((Map<?, ?>) row).get("revision")).longValue();
            Item item = items.get(key);
            if ((item == null ? 0 : item.revision) != expected) {
                body.append("{\"items\":[" + (item == null ? "" : describe(key)) + "]}");
                return 412;
            }
        }
        for (Object row : (List<?>) call.get("puts")) {
            Map<?, ?> put = (Map<?, ?>) row;
            String key = (String) put.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            Double lease = (Double) put.get("lease");
            if (lease != null && lease != 0 && !leases.containsKey(lease.longValue())) {
                return 404;
            }
        }
        for (Object row : (List<?>) call.get("puts")) {
            Map<?, ?> put = (Map<?, ?>) row;
            Double lease = (Double) put.get("lease");
            put((String) put.get("key"), (String) put.get("value"), lease == null ? 0 : lease.longValue());
        }
        for (Object key : (List<?>) call.get("remove")) {
            remove((String) key);
        }
        body.append("{\"revision\":" + revision + "}");
        return 200;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the store, nodes as separate processes with the command
 * of the deploy file, and the record of what was sent, answered and run. Ends all processes that it
 * started.
 */
final class Lab implements AutoCloseable {
    static final Map<String, String> BOUNDS =
            Map.of(
                    "floorShare", "0.7",
                    "drainS", "2.5",
                    "budgetRatio", "0.2",
                    "retrySlack", "56",
                    "budgetWindowS", "10",
                    "graceS", "6");

    final Path root;
    final Path folder;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Integer> ports = new HashSet<>();
    private final long startNanos = System.nanoTime();
    private volatile long trafficNanos = startNanos;

    /** Creates the store and an empty record in the folder of the case. */
    Lab(Path root, Path caseFolder) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endNodes));
        log("trouble", trouble ? "on" : "off");
    }

    /** A node beside one endpoint. */
    static final class Node {
        String name;
        String service;
        InetSocketAddress outbound;
        InetSocketAddress ready;
        InetSocketAddress control;
        Path settings;
        List<String> command;
        Path output;
        Process process;
    }

    synchronized void log(String what, String detail) {
        record.printf("%9.3f %-10s %s%n", seconds(), what, detail);
    }

    /** Starts the traffic: faults strike in the first 5 of every 10 seconds from now on. */
    void startTraffic() {
        trafficNanos = System.nanoTime();
        log("traffic", "starts");
    }

    /** Returns whether a disruption of 5 s is under way; never with TROUBLE=0. */
    boolean isTroubled() {
        double since = (System.nanoTime() - trafficNanos) / 1e9;
        return trouble && since % 10 < 5;
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Finds a free port below those that the system gives to outgoing connections. */
    private int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (!ports.add(port)) {
                continue;
            }
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                log("port", port + " is taken");
            }
        }
    }

    /** Starts a node; its settings are the template of the deploy file, filled in. */
    Node startNode(String name, String service, String zone, String region) throws IOException {
        Node node = new Node();
        node.name = name;
        node.service = service;
        int peers = freePort();
        node.outbound = new InetSocketAddress("127.0.0.1", freePort());
        node.ready = new InetSocketAddress("127.0.0.1", freePort());
        node.control = new InetSocketAddress("127.0.0.1", freePort());
        String text = Files.readString(root.resolve("deploy/node.json"));
        Map<String, String> values =
                Map.of(
                        "node", name,
                        "service", service,
                        "zone", zone,
                        "region", region,
                        "ip", "127.0.0.1",
                        "portRange.0", Integer.toString(peers),
                        "listen.outbound", format(node.outbound),
                        "listen.ready", format(node.ready),
                        "listen.control", format(node.control),
                        "platform.address", format(store.address()));
        Matcher placeholder = Pattern.compile("\\{\\{([a-zA-Z0-9.]+)}}").matcher(text);
        text =
                placeholder.replaceAll(
                        match -> {
                            String key = match.group(1);
                            String value =
                                    key.startsWith("bounds.")
                                            ? BOUNDS.get(key.substring("bounds.".length()))
                                            : values.get(key);
                            if (value == null) {
                                throw new IllegalStateException("no value for " + key);
                            }
                            return value;
                        });
        // Each machine has a loopback address of its own; here all nodes share one.
        text = text.replace("127.0.0.1:7400", "127.0.0.1:" + freePort());
        text = text.replace("127.0.0.1:9464", "127.0.0.1:" + freePort());
        node.settings = folder.resolve(name + ".json");
        Files.writeString(node.settings, text);
        node.output = folder.resolve(name + ".log");
        node.command = command(node.settings);
        nodes.add(node);
        start(node);
        return node;
    }

    /** Starts the process of a node, at first or again. */
    void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(node.command).directory(root.toFile());
        builder.environment().put("ARBUTUSLOCK_CONFIG", node.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.output.toFile()));
        node.process = builder.start();
        log("start", node.name + " for " + node.service);
    }

    private List<String> command(Path settings) throws IOException {
        Matcher line =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!line.find()) {
            throw new IllegalStateException("deploy/system.toml has no run line");
        }
        return Arrays.stream(line.group(1).split(" "))
                .map(word -> word.equals("/etc/arbutuslock/settings.json") ? settings.toString() : word)
                .toList();
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Sends a signal, such as TERM or KILL, to the process of a node. */
    void signal(Node node, String name) throws IOException {
        log("signal", name + " to " + node.name);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(node.process.pid()))
                    .start()
                    .waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all nodes answer GET /ready with 200. Returns false after a time limit. */
    boolean awaitReady(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (Node node : nodes) {
            while (!isReady(node)) {
                if (System.nanoTime() - end > 0) {
                    log("unready", node.name + ", running: " + node.process.isAlive());
                    return false;
                }
                sleep(100);
            }
        }
        return true;
    }

    static boolean isReady(Node node) {
        try (Http.Connection connection = Http.Connection.open(node.ready, 500)) {
            connection.socket.setSoTimeout(1_000);
            Http.writeHead(
                    connection.out, "GET /ready HTTP/1.1", "Host", "ready", "Connection", "close");
            connection.out.flush();
            return Http.read(connection.in, true).status() == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    List<Node> nodes() {
        return nodes;
    }

    private void endNodes() {
        for (Node node : List.copyOf(nodes)) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endNodes();
        store.close();
        String kept = System.getenv("KEEP");
        if (kept != null) {
            Files.createDirectories(Path.of(kept));
            for (Node node : nodes) {
                Files.copy(node.output, Path.of(kept).resolve(node.name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }
}

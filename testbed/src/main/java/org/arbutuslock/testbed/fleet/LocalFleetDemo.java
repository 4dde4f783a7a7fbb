package org.arbutuslock.testbed.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.daemon.Main;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.testbed.backend.BackendMain;
import org.arbutuslock.testbed.store.StoreMain;

/**
 * Demonstrates a local fleet: starts a store, three nodes in two availability zones and three
 * backend servers as processes, sends requests, changes a route with the command-line tool and
 * stops the processes.
 */
public final class LocalFleetDemo {
    private static final int FAILED = 1;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<NodeSettings> mNodes = new ArrayList<>();
    private final ChildProcesses mProcesses;
    private final Path mDirectory;

    private LocalFleetDemo(ChildProcesses processes, Path directory) {
        mProcesses = processes;
        mDirectory = directory;
    }

    /**
     * Runs the demonstration. Exits with 0 when all steps succeed, otherwise with 1.
     *
     * @param arguments ignored
     * @throws Exception when a process cannot be started or a step does not succeed within 20 s
     */
    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("arbutuslock-demo");
        System.out.println("settings and logs: " + directory);
        boolean passed;
        try (ChildProcesses processes = new ChildProcesses(directory)) {
            LocalFleetDemo demo = new LocalFleetDemo(processes, directory);
            demo.startFleet();
            passed = demo.demonstrate();
        }
        System.out.println(passed ? "done" : "failed; see the logs in " + directory);
        System.exit(passed ? 0 : FAILED);
    }

    private void startFleet() throws IOException {
        InetSocketAddress store = FreePorts.next();
        System.out.println("starting a store, 3 nodes and 3 backend servers ...");
        mProcesses.start(
                "store", StoreMain.class, List.of("--port", Integer.toString(store.getPort())));
        startNode("calgary-a-1", "calgary-a", store);
        startNode("calgary-a-2", "calgary-a", store);
        startNode("regina-b-1", "regina-b", store);
        startBackend("order-hub-1", "order-hub", 0);
        startBackend("order-hub-2", "order-hub", 1);
        startBackend("inventory-desk-1", "inventory-desk", 2);
    }

    private void startNode(String name, String availabilityZone, InetSocketAddress store)
            throws IOException {
        List<InetSocketAddress> seeds =
                mNodes.stream().map(node -> node.peers().advertisedAddress()).toList();
        NodeSettings settings =
                FleetSettings.create(name, "west-prairie", availabilityZone, store, seeds);
        mNodes.add(settings);
        Path file = SettingsFile.write(mDirectory, settings);
        mProcesses.start(name, Main.class, List.of("--settings", file.toString()));
    }

    private void startBackend(String name, String service, int node) throws IOException {
        int port = mNodes.get(node).announcements().address().getPort();
        mProcesses.start(
                name,
                BackendMain.class,
                List.of("--name", name, "--service", service, "--home-node-port", "" + port));
    }

    private boolean demonstrate() throws Exception {
        InProcessFleet.await("status 200 for /health on all nodes", () -> allRespond("/health"));
        boolean configured = configure();
        InProcessFleet.await("status 200 for /ready on all nodes", () -> allRespond("/ready"));
        InProcessFleet.await(
                "status 200 from both services",
                () -> status("GET", "/stock/7") == 200 && status("POST", "/orders") == 200);
        boolean ordersWork = sendAndPrint("POST", "/orders", "order-hub");
        boolean stockWorks = sendAndPrint("GET", "/stock/7", "inventory-desk");
        System.out.println("changing the route of /stock to order-hub with the command-line tool");
        boolean changed =
                runCommandLineTool("route", "change", "stock", "--service", "order-hub", "--wait")
                        == 0;
        boolean moved = sendAndPrint("GET", "/stock/7", "order-hub");
        boolean statusShown = runCommandLineTool("status") == 0;
        return configured && ordersWork && stockWorks && changed && moved && statusShown;
    }

    private boolean configure() throws Exception {
        Path document = mDirectory.resolve("configuration.json");
        Files.writeString(
                document,
                """
                {
                  // Two services with one route each.
                  "services": [
                    {"name": "order-hub", "floorEndpoints": 1, "expectedEndpoints": 2,
                     "slotsPerEndpoint": 5, "retryPercent": 20},
                    {"name": "inventory-desk", "floorEndpoints": 1, "expectedEndpoints": 1,
                     "slotsPerEndpoint": 5, "retryPercent": 20}
                  ],
                  "routes": [
                    {"name": "orders", "path": "/orders", "prefix": true, "service": "order-hub",
                     "workClass": "SHORT", "deadlineMillis": 2000, "priority": 5},
                    {"name": "stock", "method": "GET", "path": "/stock", "prefix": true,
                     "service": "inventory-desk", "workClass": "SHORT", "idempotent": true,
                     "deadlineMillis": 2000, "priority": 5}
                  ]
                }
                """);
        System.out.println("applying a configuration with the command-line tool");
        return runCommandLineTool("apply", document.toString(), "--yes", "--wait") == 0;
    }

    private int runCommandLineTool(String... arguments) throws Exception {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.add("--address");
        all.add(Addresses.format(mNodes.getFirst().operators().address()));
        System.out.println("$ arbutuslock " + String.join(" ", all));
        return mProcesses.run(org.arbutuslock.cli.Main.class, all);
    }

    /**
     * Sends a request to the first node and prints which backend server responded. Returns true for
     * status 200 from a backend server of the service.
     */
    private boolean sendAndPrint(String method, String path, String service) throws Exception {
        HttpResponse<String> response = send(method, path);
        String server = response.headers().firstValue("backend-server").orElse("none");
        System.out.println(
                method
                        + " "
                        + path
                        + " to node calgary-a-1 -> status "
                        + response.statusCode()
                        + " from backend server "
                        + server);
        return response.statusCode() == 200 && server.startsWith(service);
    }

    private int status(String method, String path) {
        try {
            return send(method, path).statusCode();
        } catch (IOException notReady) {
            return 0;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private HttpResponse<String> send(String method, String path)
            throws IOException, InterruptedException {
        String address = Addresses.format(mNodes.getFirst().callers().address());
        return mClient.send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .version(HttpClient.Version.HTTP_1_1)
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private boolean allRespond(String path) {
        return mNodes.stream().allMatch(node -> responds(node, path));
    }

    private boolean responds(NodeSettings node, String path) {
        String address = Addresses.format(node.metrics().address());
        try {
            URI uri = URI.create("http://" + address + path);
            return mClient.send(
                                    HttpRequest.newBuilder(uri).build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException notReady) {
            return false;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}

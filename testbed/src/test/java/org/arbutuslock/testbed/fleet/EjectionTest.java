package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.testbed.backend.BackendFaults;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.Test;

/**
 * Guards against an unhealthy backend server that still gets requests, and against ejections that
 * leave fewer endpoints in service than the floor.
 */
public class EjectionTest {
    private static final String SERVICE = "inventory-desk";

    private final HttpClient mClient = HttpClient.newHttpClient();

    @Test
    public void should_eject_a_failing_server_only_while_the_floor_allows_it() throws Exception {
        try (InProcessFleet fleet = startFleet()) {
            makeUnhealthy(fleet, "desk-1");
            InProcessFleet.await(
                    "ejection of the failing server",
                    () -> sendAndGetState(fleet, "desk-1") == EndpointState.EJECTED);
            assertEquals(countOutOfService(fleet), 1);
            // The three healthy endpoints exactly meet the floor of three. When a second endpoint
            // becomes unhealthy, desk-1 must return to keep the floor.
            makeUnhealthy(fleet, "desk-2");
            InProcessFleet.await(
                    "return of the ejected server at reduced weight",
                    () -> sendAndGetState(fleet, "desk-1") == EndpointState.REDUCED);
            assertEquals(countOutOfService(fleet), 0);
            assertEquals(stateOf(fleet, "desk-3"), EndpointState.IN_SERVICE);
        }
    }

    private static void makeUnhealthy(InProcessFleet fleet, String backend) {
        fleet.backends().get(backend).setFaults(BackendFaults.none().withErrorShare(0.9));
    }

    private EndpointState sendAndGetState(InProcessFleet fleet, String backend) {
        send(fleet);
        return stateOf(fleet, backend);
    }

    private static long countOutOfService(InProcessFleet fleet) {
        return fleet.backends().keySet().stream()
                .filter(backend -> !stateOf(fleet, backend).takesWork())
                .count();
    }

    private static InProcessFleet startFleet() throws Exception {
        InProcessFleet fleet = InProcessFleet.start(11);
        fleet.addNode("calgary-a-1", "west-prairie", "calgary-a");
        fleet.addNode("calgary-a-2", "west-prairie", "calgary-a");
        for (int backend = 1; backend <= 4; backend++) {
            String node = backend % 2 == 0 ? "calgary-a-1" : "calgary-a-2";
            fleet.addBackend(node, "desk-" + backend, SERVICE, 5, WorkTimes.of(1, 1, 1));
        }
        fleet.change(
                List.of(
                        new ConfigurationOperation.PutService(
                                new ServiceDefinition(SERVICE, new Floor.Count(3), 4, 5, 0)),
                        new ConfigurationOperation.PutRoute(
                                new RouteDefinition(
                                        "stock",
                                        "",
                                        "",
                                        "/stock",
                                        true,
                                        Map.of(),
                                        SERVICE,
                                        WorkClass.SHORT,
                                        true,
                                        2_000,
                                        5))));
        fleet.awaitReady();
        return fleet;
    }

    private void send(InProcessFleet fleet) {
        InetSocketAddress address = fleet.settings("calgary-a-1").callers().address();
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/stock/7");
        try {
            mClient.send(
                    HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    private static EndpointState stateOf(InProcessFleet fleet, String backend) {
        return fleet.node("calgary-a-1")
                .component(FleetDirectory.class)
                .current()
                .findMember(new EndpointId(SERVICE, backend))
                .orElseThrow()
                .endpoint()
                .state();
    }
}

package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.daemon.internal.ejection.EjectionRunner;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a drain command that is lost on its way to the home node of the endpoint, takes
 * more endpoints out of service than the floor allows, or takes effect after it was refused.
 */
public class DrainFleetTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 12);
    private static final String FIRST = "calgary-a-1";
    private static final String HOME = "regina-b-1";
    private static final int REFUSED = 1;

    private InProcessFleet mFleet;

    @BeforeMethod
    public void startFleet() throws Exception {
        System.out.println("DrainFleetTest arbutuslock.seed=" + SEED);
        mFleet = InProcessFleet.start(SEED);
        mFleet.addNode(FIRST, "west-prairie", "calgary-a");
        mFleet.addNode(HOME, "west-prairie", "regina-b");
        WorkTimes times = WorkTimes.of(2, 0, 1);
        mFleet.addBackend(HOME, "order-hub-1", "order-hub", 5, times);
        mFleet.addBackend(HOME, "content-shelf-1", "content-shelf", 5, times);
        mFleet.change(List.of(service("order-hub", 1), service("content-shelf", 0)));
        mFleet.awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    @Test
    public void should_drain_through_the_home_node_as_far_as_the_floor_allows() {
        InProcessFleet.await(
                "state IN_SERVICE of both endpoints",
                () ->
                        stateOf("order-hub", "order-hub-1") == EndpointState.IN_SERVICE
                                && stateOf("content-shelf", "content-shelf-1")
                                        == EndpointState.IN_SERVICE);
        String refused = run("drain", "order-hub-1").expect(REFUSED).text();
        assertTrue(refused.contains("refused by the floor"), refused);
        assertFalse(isDrainRequested("order-hub", "order-hub-1"));

        run("drain", "content-shelf-1").expect(0);
        String again = run("drain", "content-shelf-1").expect(0).text();
        assertTrue(again.contains("already done"), again);
        String explained = run("explain", "content-shelf-1").expect(0).text();
        assertTrue(explained.contains("drained by an operator"), explained);
        assertTrue(explained.contains("at node " + HOME), explained);

        String returned = run("undrain", "content-shelf-1").expect(0).text();
        assertTrue(returned.contains("undrain content-shelf-1: accepted"), returned);
        assertTrue(stateOf("content-shelf", "content-shelf-1").takesWork());
    }

    private CommandRun run(String... arguments) {
        return CommandRun.run(mFleet, FIRST, arguments);
    }

    private EndpointState stateOf(String service, String backendServer) {
        return mFleet.node(HOME)
                .component(EjectionRunner.class)
                .submit(
                        new EndpointId(service, backendServer),
                        EjectionRunner.EndpointControl::state)
                .join()
                .orElseThrow();
    }

    private boolean isDrainRequested(String service, String backendServer) {
        return mFleet.node(HOME)
                .component(EjectionRunner.class)
                .submit(
                        new EndpointId(service, backendServer),
                        EjectionRunner.EndpointControl::isDrainRequested)
                .join()
                .orElseThrow();
    }

    private static ConfigurationOperation service(String name, int floor) {
        return new ConfigurationOperation.PutService(
                new ServiceDefinition(name, new Floor.Count(floor), 1, 5, 20));
    }
}

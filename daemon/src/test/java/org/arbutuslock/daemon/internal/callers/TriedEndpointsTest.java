package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.progress.RequiredHealth;
import org.testng.annotations.Test;

/**
 * Guards against sending requests that must not be repeated to a server that may hang while a
 * proven one is left. Also guards against refusing a request because no server is proven.
 */
public class TriedEndpointsTest {
    private static final int ENDPOINTS = 6;

    @Test
    public void should_require_a_proven_endpoint_for_requests_that_must_not_be_repeated() {
        assertEquals(new TriedEndpoints(false).requiredHealth(), RequiredHealth.PROVEN);
        assertEquals(new TriedEndpoints(true).requiredHealth(), RequiredHealth.NOT_SUSPECT);
    }

    @Test
    public void should_require_a_proven_endpoint_for_the_last_execution_once() {
        TriedEndpoints tried = new TriedEndpoints(true);
        tried.requireProven();
        assertEquals(tried.requiredHealth(), RequiredHealth.PROVEN);
        for (int index = 0; index < 4; index++) {
            refuseUnproven(tried, index);
        }
        tried.requireProven();
        assertEquals(tried.requiredHealth(), RequiredHealth.NOT_SUSPECT);
    }

    @Test
    public void should_accept_unproven_endpoints_after_four_refusals() {
        TriedEndpoints tried = new TriedEndpoints(false);
        for (int index = 0; index < 4; index++) {
            assertEquals(tried.requiredHealth(), RequiredHealth.PROVEN);
            refuseUnproven(tried, index);
        }
        assertEquals(tried.requiredHealth(), RequiredHealth.NOT_SUSPECT);
        assertEquals(choose(tried), Optional.of(id(0)));
    }

    @Test
    public void should_choose_a_suspect_endpoint_when_no_other_is_left() {
        TriedEndpoints tried = new TriedEndpoints(false);
        for (int index = 0; index < ENDPOINTS; index++) {
            tried.add(id(index));
            tried.addSuspect(id(index));
        }
        assertTrue(choose(tried).isPresent());
        assertEquals(tried.requiredHealth(), RequiredHealth.ANY);
    }

    /** Guards against two executions at one backend server, the second of which hides the first. */
    @Test
    public void should_not_choose_an_endpoint_again_that_executed_the_request_after_a_refusal() {
        TriedEndpoints tried = new TriedEndpoints(true);
        for (int index = 0; index < ENDPOINTS; index++) {
            tried.add(id(index));
            tried.addSuspect(id(index));
        }
        assertEquals(choose(tried), Optional.of(id(0)));
        tried.add(id(0));
        assertEquals(choose(tried), Optional.of(id(1)));
        for (int index = 1; index < ENDPOINTS; index++) {
            tried.add(id(index));
        }
        assertEquals(choose(tried), Optional.empty());
    }

    @Test
    public void should_choose_an_endpoint_again_whose_path_failed() {
        TriedEndpoints tried = new TriedEndpoints(true);
        for (int index = 0; index < ENDPOINTS; index++) {
            tried.add(id(index));
        }
        tried.addPathFailure(id(3));
        assertEquals(choose(tried), Optional.of(id(3)));
        tried.add(id(3));
        assertEquals(choose(tried), Optional.empty());
    }

    private static void refuseUnproven(TriedEndpoints tried, int index) {
        tried.add(id(index));
        tried.addUnproven(id(index));
    }

    private static Optional<EndpointId> choose(TriedEndpoints tried) {
        return tried.choose(new FirstUntried(), null, false).map(member -> member.endpoint().id());
    }

    private static EndpointId id(int index) {
        return new EndpointId("orders", "orders-" + index);
    }

    /** Chooses the first endpoint that was not tried. */
    private static final class FirstUntried extends StatelessEndpointChooser {
        @Override
        public Optional<FleetSnapshot.Member> choose(
                RouteDefinition route, boolean idempotent, Set<EndpointId> tried) {
            for (int index = 0; index < ENDPOINTS; index++) {
                if (!tried.contains(id(index))) {
                    return Optional.of(member(id(index)));
                }
            }
            return Optional.empty();
        }

        private static FleetSnapshot.Member member(EndpointId id) {
            NodeRecord node =
                    new NodeRecord("a", 9, 1, "127.0.0.1:1", "west", "b", 0, false, List.of());
            return new FleetSnapshot.Member(
                    node, new EndpointRecord(id, 5, EndpointState.IN_SERVICE, 100));
        }
    }
}

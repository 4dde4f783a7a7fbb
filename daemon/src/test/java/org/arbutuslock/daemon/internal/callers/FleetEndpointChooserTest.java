package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.callers.EndpointChooser.AttemptResult;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.selection.DistancePenalties;
import org.arbutuslock.internal.selection.LoadReport;
import org.arbutuslock.internal.selection.RegionLinkBudget;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that get no endpoint although one could take them. */
public class FleetEndpointChooserTest {
    private static final int BYTES_PER_SECOND = 250_000;
    private static final int RESPONSE_BYTES = 90_000;
    private static final RouteDefinition DOWNLOADS =
            new RouteDefinition(
                    "packs",
                    "",
                    "GET",
                    "/packs",
                    true,
                    Map.of(),
                    "shelf",
                    WorkClass.LONG,
                    true,
                    8_000,
                    5);

    private ManualClock mClock;
    private FleetEndpointChooser mChooser;

    @BeforeMethod
    public void createChooser() {
        mClock = new ManualClock();
        EndpointRecord endpoint =
                new EndpointRecord(
                        new EndpointId("shelf", "one"), 5, EndpointState.IN_SERVICE, 100);
        NodeRecord node =
                new NodeRecord(
                        "b", 1, 1, "127.0.0.1:2", "east", "regina", 0, false, List.of(endpoint));
        FleetSnapshot fleet = FleetSnapshot.of(List.of(node));
        mChooser =
                new FleetEndpointChooser(
                        new LocalNode("a", 1, "west", "calgary", "127.0.0.1:1"),
                        mClock,
                        () -> fleet,
                        new ConfigurationHolder(),
                        new RegionLinkBudget(mClock, BYTES_PER_SECOND, Duration.ofSeconds(5)),
                        DistancePenalties.NONE,
                        1);
    }

    @Test
    public void should_give_back_the_link_budget_that_a_small_download_did_not_use() {
        assertTrue(download(RESPONSE_BYTES));
        assertTrue(download(RESPONSE_BYTES));
    }

    @Test
    public void should_give_back_the_link_budget_of_a_refused_download() {
        assertTrue(download(0));
        assertTrue(download(RESPONSE_BYTES));
    }

    /** Guards against a link to another region that gets more than its budget. */
    @Test
    public void should_limit_downloads_from_another_region_to_the_budget() {
        int bytes = 0;
        for (int step = 0; step < 300; step++) {
            bytes += download(RESPONSE_BYTES) ? RESPONSE_BYTES : 0;
            mClock.advance(Duration.ofMillis(100));
        }
        assertTrue(bytes <= (30 + 5) * BYTES_PER_SECOND, bytes + " bytes in 30 s");
    }

    private boolean download(int bytes) {
        Optional<FleetSnapshot.Member> candidate = mChooser.choose(DOWNLOADS, true, Set.of());
        candidate.ifPresent(
                member -> {
                    mChooser.started(member, DOWNLOADS);
                    mChooser.finished(
                            member,
                            DOWNLOADS,
                            Duration.ofMillis(300),
                            AttemptResult.COMPLETE,
                            LoadReport.UNKNOWN,
                            bytes);
                });
        return candidate.isPresent();
    }
}

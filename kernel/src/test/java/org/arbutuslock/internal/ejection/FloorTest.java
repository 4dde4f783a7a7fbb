package org.arbutuslock.internal.ejection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/**
 * Guards against a service that drops below its floor because endpoints leave it at the same time.
 * Crashes, pauses, network partitions and unreliable messages may cause this if the reservation
 * protocol is wrong.
 */
public class FloorTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);
    private static final int SEEDS = 500;
    private static final int STEPS = 10_000;
    private static final EjectionSettings STANDARD =
            withTimes(
                    EjectionSettings.standard().countedDuration(),
                    EjectionSettings.standard().replyTimeout());
    private static final int BROKEN_RULE_SEEDS = 200;

    @Test
    public void should_keep_the_floor_under_random_faults() {
        FloorReport report = simulate("standard", STANDARD, true, false, SEEDS);
        assertEquals(report.mViolations, 0, "departures below the floor from seed " + SEED);
        assertEquals(report.mShortageViolations, 0, "long shortages from seed " + SEED);
        assertTrue(
                report.mDepartures > 10L * SEEDS, "too few departures for a conclusion: " + report);
    }

    /** Shows that the check of the floor fails when endpoints leave without reservations. */
    @Test
    public void should_detect_departures_without_reservations() {
        FloorReport report = simulate("no reservations", STANDARD, false, false, BROKEN_RULE_SEEDS);
        assertTrue(report.mViolations > 0, report.toString());
    }

    /**
     * Shows that the check fails when reservations are counted for longer than they bind. The
     * control run shows that the long reply timeout alone violates nothing.
     */
    @Test
    public void should_detect_reservations_that_are_counted_too_long() {
        EjectionSettings unsafe = withTimes(Duration.ofSeconds(20), Duration.ofSeconds(20));
        FloorReport report = simulate("counted 20 s", unsafe, true, true, BROKEN_RULE_SEEDS);
        assertTrue(report.mViolations > 0, report.toString());
        assertThrows(IllegalArgumentException.class, unsafe::requireSafe);
        EjectionSettings safe = withTimes(Duration.ofSeconds(4), Duration.ofSeconds(20));
        FloorReport control = simulate("counted 4 s", safe, true, true, BROKEN_RULE_SEEDS);
        assertEquals(control.mViolations, 0, control.toString());
    }

    /**
     * Returns the standard settings with other times and a quicker return to service, so that more
     * departures are checked.
     */
    private static EjectionSettings withTimes(Duration counted, Duration replyTimeout) {
        EjectionSettings standard = EjectionSettings.standard();
        return new EjectionSettings(
                standard.reservationDuration(),
                counted,
                standard.renewalInterval(),
                replyTimeout,
                standard.departureNotice(),
                Duration.ofSeconds(2),
                Duration.ofSeconds(8),
                Duration.ofSeconds(2),
                Duration.ofSeconds(2));
    }

    private static FloorReport simulate(
            String name,
            EjectionSettings settings,
            boolean reservationRule,
            boolean slowNetwork,
            int seeds) {
        FloorReport total = new FloorReport();
        var options = new FloorSimulation.Options(settings, reservationRule, slowNetwork);
        for (int index = 0; index < seeds; index++) {
            FloorReport report = new FloorSimulation(SEED + index, options).run(STEPS);
            if (report.mViolations + report.mShortageViolations > 0) {
                System.out.println("floor, " + name + ", seed " + (SEED + index) + ": " + report);
            }
            total.add(report);
        }
        System.out.println("floor, " + name + ", " + seeds + " seeds from " + SEED + ": " + total);
        return total;
    }
}

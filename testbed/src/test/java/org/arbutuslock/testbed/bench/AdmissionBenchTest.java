package org.arbutuslock.testbed.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against admission control that completes too little work or refuses late in overload. */
public class AdmissionBenchTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);

    private static AdmissionResult measure(int slots, boolean controlled) {
        AdmissionResult result = AdmissionResult.measure(SEED, slots, controlled);
        System.out.println("AdmissionBenchTest " + result.describe());
        return result;
    }

    @Test
    public void should_meet_bounds_with_admission_control() {
        assertTrue(measure(5, true).meetsBounds());
        assertTrue(measure(3, true).meetsBounds());
    }

    /** Guards against bounds so loose that the first-in first-out baseline meets them too. */
    @Test
    public void should_miss_bounds_without_admission_control() {
        assertFalse(measure(5, false).meetsBounds());
    }

    @Test
    public void should_exit_with_2_on_wrong_options() throws Exception {
        assertEquals(AdmissionBench.run(new String[] {"--runs", "none"}), 2);
    }
}

package org.arbutuslock.testbed.bench;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a benchmark that runs although its options are invalid. */
public class SpreadBenchTest {
    @Test
    public void should_exit_with_2_on_wrong_options() throws Exception {
        assertEquals(SpreadBench.run(new String[] {"--nodes", "1000"}), 2);
        assertEquals(SpreadBench.run(new String[] {"--format", "xml"}), 2);
    }
}

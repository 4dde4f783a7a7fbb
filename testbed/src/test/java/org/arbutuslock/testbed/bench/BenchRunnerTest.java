package org.arbutuslock.testbed.bench;

import static org.testng.Assert.assertEquals;

import net.sourceforge.argparse4j.inf.Namespace;
import org.testng.annotations.Test;

/** Guards against exit code 0 after a missed bound or invalid options. */
public class BenchRunnerTest {
    @Test
    public void should_exit_by_the_bounds() throws Exception {
        assertEquals(BenchRunner.run(new Fixed(1), new String[] {"--format", "json"}), 0);
        assertEquals(BenchRunner.run(new Fixed(3), new String[0]), BenchRunner.EXIT_MISSED_BOUND);
    }

    @Test
    public void should_exit_2_on_wrong_options() throws Exception {
        assertEquals(
                BenchRunner.run(new Fixed(1), new String[] {"--seed", "x"}),
                BenchRunner.EXIT_WRONG_OPTIONS);
    }

    /** Reports one value with an upper bound of 2. */
    private record Fixed(double value) implements Bench {
        @Override
        public String description() {
            return "Fixed value.";
        }

        @Override
        public void measure(Namespace options, BenchReport report) {
            report.atMost("value", value, 2, "ms");
        }
    }
}

package org.arbutuslock.testbed.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against a missed bound that exits with 0, and reports without figures or environment. */
public class BenchMainTest {
    private record Fixed(double figure) implements Benchmark {
        @Override
        public String name() {
            return "fixed";
        }

        @Override
        public String description() {
            return "A fixed figure";
        }

        @Override
        public BenchReport run(BenchOptions options) {
            if (Double.isNaN(figure)) {
                throw new IllegalStateException("no figure");
            }
            BenchReport report = new BenchReport(name(), options.seed());
            report.atMost("figure", figure, 5, "s");
            report.plot("growth", "step", "seconds")
                    .point("line", 1, figure)
                    .point("line", 2, Double.POSITIVE_INFINITY);
            return report;
        }
    }

    private static int run(double figure, String... arguments) throws Exception {
        return BenchMain.run(List.of(new Fixed(figure)), arguments);
    }

    @Test
    public void should_exit_with_1_past_a_bound_or_after_a_failed_run() throws Exception {
        String output = Files.createTempDirectory("bench").toString();
        assertEquals(run(5, "all", "--output", output), 0);
        assertEquals(run(6, "fixed", "--output", output), 1);
        assertEquals(run(Double.NaN, "fixed", "--output", output), 1);
    }

    @Test
    public void should_exit_with_2_on_wrong_options() throws Exception {
        String output = Files.createTempDirectory("bench").toString();
        Path file = Files.createTempFile("bench", "file");
        assertEquals(run(5, "unknown", "--output", output), 2);
        assertEquals(run(5, "all", "--seed", "x", "--output", output), 2);
        assertEquals(run(5, "all", "--output", file.toString()), 2);
    }

    @Test
    public void should_write_figures_conditions_and_plots() throws Exception {
        Path output = Files.createTempDirectory("bench");
        run(5, "all", "--short", "--seed", "77", "--output", output.toString());
        JsonNode json = new ObjectMapper().readTree(output.resolve("report.json").toFile());
        assertEquals(json.at("/environment/seed").asLong(), 77);
        assertTrue(json.at("/environment/cores").asInt() > 0);
        assertEquals(json.at("/reports/0/figures/0/figure").asDouble(), 5.0);
        assertTrue(Files.readString(output.resolve("report.txt")).contains("at most 5 "));
        assertTrue(Files.readString(output.resolve("fixed-growth.svg")).contains("<svg"));
    }
}

package org.arbutuslock.internal.logging;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Guards against log events that docs/events.md lacks or describes differently, as after a change
 * of an event without its row, and against event numbers that are used twice.
 */
public class EventsPageTest {
    private static final Path PAGE = Path.of("../docs/events.md");
    private static final int COLUMNS = 6;

    @Test
    public void should_have_one_row_for_each_event() throws IOException {
        List<String> expected =
                Arrays.stream(Event.values()).map(EventsPageTest::describe).toList();
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(PAGE)) {
            if (line.matches("\\| \\d+ \\| `.*")) {
                String[] cells = line.substring(2, line.length() - 2).split(" \\| ", -1);
                assertTrue(
                        cells.length == COLUMNS && Arrays.stream(cells).noneMatch(String::isBlank),
                        "a row of docs/events.md has an empty cell or a wrong number of cells: "
                                + line);
                found.add("| " + String.join(" | ", List.of(cells).subList(0, 4)) + " |");
            }
        }
        List<String> missing = without(expected, found);
        List<String> surplus = without(found, expected);
        assertTrue(
                missing.isEmpty() && surplus.isEmpty(),
                "docs/events.md lacks these rows:\n"
                        + String.join("\n", missing)
                        + "\nand has these rows without an event:\n"
                        + String.join("\n", surplus));
    }

    @Test
    public void should_not_use_a_number_twice() {
        Set<Integer> numbers = new HashSet<>();
        for (Event event : Event.values()) {
            assertTrue(numbers.add(event.number()), event + " uses the number of another event");
        }
    }

    private static String describe(Event event) {
        return "| "
                + event.number()
                + " | `"
                + event.name()
                + "` | "
                + event.level()
                + " | `"
                + event.template()
                + "` |";
    }

    /** Removes each row once, so that a row that appears twice counts as surplus. */
    private static List<String> without(List<String> rows, List<String> others) {
        List<String> rest = new ArrayList<>(rows);
        others.forEach(rest::remove);
        return rest;
    }
}

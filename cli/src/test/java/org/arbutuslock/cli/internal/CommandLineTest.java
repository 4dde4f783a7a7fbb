package org.arbutuslock.cli.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.testng.annotations.Test;

/**
 * Guards against invalid options that are sent to a node, and against a command or exit code that
 * {@code docs/cli.md} does not list.
 */
public class CommandLineTest {
    @Test
    public void should_exit_with_2_on_wrong_options() {
        assertEquals(run("127.0.0.1:7400", "tenant", "create", "blue").exitCode(), 2);
        assertEquals(run("127.0.0.1:7400", "status", "--timeout", "0").exitCode(), 2);
        CommandRun badAddress = run("localhost:7400", "status");
        assertEquals(badAddress.exitCode(), 2);
        assertTrue(
                badAddress.messages().contains("ARBUTUSLOCK_ADDRESS is \"localhost:7400\""),
                badAddress.messages());
        assertEquals(run("127.0.0.1:7400", "status", "--key", "key.pem").exitCode(), 2);
    }

    @Test
    public void should_document_every_exit_code_and_command() throws IOException {
        String page = Files.readString(Path.of("../docs/cli.md"));
        Arrays.stream(ExitCode.values())
                .map(code -> "| " + code.code() + " | " + code.meaning() + " |")
                .forEach(row -> assertTrue(page.contains(row), row));
        CommandRun completion = run("127.0.0.1:7400", "completion", "bash");
        assertEquals(completion.exitCode(), 0);
        completion
                .results()
                .lines()
                .filter(line -> line.matches(" +'[a-z ]+'\\) words='--.*"))
                .map(line -> "`" + line.replaceAll(" +'([a-z ]+)'.*", "$1"))
                .forEach(command -> assertTrue(page.contains(command), command));
    }

    private static CommandRun run(String address, String... arguments) {
        return CommandRun.of(address, "", arguments);
    }
}

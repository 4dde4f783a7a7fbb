package org.arbutuslock.cli.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.Tenant;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a change that differs from what the operator was shown and confirmed, and against
 * an invalid file that is sent.
 */
public class FileCommandTest {
    private static final String FILE =
            """
            {
              // Weights of the teams
              "tenants": [{"name": "blue", "weight": 5}, {"name": "green", "weight": 1}],
              "delete": {"tenants": ["red"]}
            }
            """;

    private FakeOperators mNode;
    private Path mFile;

    @BeforeMethod
    void start() throws IOException {
        mNode = new FakeOperators();
        mNode.append("id-1", "ann", List.of(putTenant("blue", 2), putTenant("red", 2)));
        mFile = Files.createTempFile("configuration", ".json");
        Files.writeString(mFile, FILE);
    }

    @AfterMethod
    void stop() throws IOException {
        mNode.close();
        Files.delete(mFile);
    }

    @Test
    public void should_show_the_difference_and_apply_it_as_one_change() {
        CommandRun run = run("yes\n", "apply", mFile.toString());
        assertEquals(run.exitCode(), 0, run.messages());
        assertTrue(
                run.results()
                        .startsWith(
                                "~ tenant blue: weight 2 -> 5\n"
                                        + "+ tenant green: weight 1\n"
                                        + "- tenant red\n"),
                run.results());
        assertEquals(mNode.mAcceptedChanges.size(), 2);
        assertEquals(mNode.entities().size(), 2);
        assertEquals(run("", "apply", mFile.toString()).exitCode(), 0);
        assertEquals(
                mNode.mAcceptedChanges.size(), 2, "applying the same file again changes nothing");
    }

    @Test
    public void should_send_nothing_without_confirmation() {
        assertEquals(run("no\n", "apply", mFile.toString()).exitCode(), 1);
        assertEquals(run("", "diff", mFile.toString()).exitCode(), 0);
        assertEquals(mNode.mAcceptedChanges.size(), 1);
    }

    @Test
    public void should_report_all_problems_of_a_file_with_positions() throws IOException {
        Files.writeString(
                mFile,
                """
                {
                  "tenants": [
                    {"name": "blue", "wieght": 5},
                    {"name": "green"}, {"name": "green"}
                  ],
                  "tenats": []
                }
                """);
        CommandRun run = run("", "apply", "--yes", mFile.toString());
        assertEquals(run.exitCode(), 2);
        assertTrue(run.messages().contains(mFile + ":3:5: tenants[0]: "), run.messages());
        assertTrue(run.messages().contains("wieght"), run.messages());
        assertTrue(
                run.messages().contains(mFile + ":4:24: tenants[2] names \"green\" a second time"),
                run.messages());
        assertTrue(run.messages().contains(mFile + ":6:3: field \"tenats\""), run.messages());
    }

    private CommandRun run(String input, String... arguments) {
        return CommandRun.of(mNode.address(), input, arguments);
    }

    private static org.arbutuslock.v1.Operation putTenant(String name, int weight) {
        return Entities.put(
                Entity.newBuilder()
                        .setTenant(Tenant.newBuilder().setName(name).setWeight(weight))
                        .build());
    }
}

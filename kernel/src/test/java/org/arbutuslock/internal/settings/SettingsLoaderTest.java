package org.arbutuslock.internal.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against settings files whose mistakes are accepted or reported at a wrong position. */
public class SettingsLoaderTest {
    private static final String REQUIRED =
            """
            "nodeName": "calgary-a-1", "region": "west", "availabilityZone": "calgary-a",
            "callers": {"address": "127.0.0.1:8080"}, "store": {"address": "127.0.0.1:2379"},
            """;

    @Test
    public void should_load_the_example() {
        SettingsResult result = new SettingsLoader().load(Path.of("../config/node.example.json"));
        assertTrue(result instanceof SettingsResult.Loaded, result.toString());
        NodeSettings settings = ((SettingsResult.Loaded) result).settings();
        assertEquals(settings.peers().seeds().size(), 2);
        assertEquals(settings.limits().keptResponseBytes(), 64 << 20);
        assertTrue(settings.tls().isEmpty());
    }

    @Test
    public void should_use_defaults_and_read_tls() throws IOException {
        Path directory = Files.createTempDirectory("settings");
        Files.createFile(directory.resolve("file.pem"));
        String json =
                "{"
                        + REQUIRED
                        + """
                        "peers": {"address": "[::1]:7500"},
                        "operators": {"address": "0.0.0.0:7400"},
                        "tls": {"certificateFile": "file.pem", "keyFile": "file.pem",
                          "trustFile": "file.pem", "roles": {"ann b.": "operator", "bob": "viewer"}}
                        }
                        """;
        Path file = Files.writeString(directory.resolve("node.json"), json);
        SettingsResult result = new SettingsLoader().load(file);
        assertTrue(result instanceof SettingsResult.Loaded, result.toString());
        NodeSettings settings = ((SettingsResult.Loaded) result).settings();
        assertEquals(settings.peers().advertisedAddress(), settings.peers().address());
        assertEquals(settings.limits().connections(), 10_000);
        assertEquals(
                settings.tls().orElseThrow().roles().get("ann b."), NodeSettings.Role.OPERATOR);
    }

    @Test
    public void should_report_every_problem_with_its_position() throws IOException {
        assertProblems(
                """
                { // comment
                  "nodeName": "under_score",
                  "region": "west", "region": "east",
                  "callers": {"address": "localhost:80", "idleTimeoutMilis": 5},
                  "peers": {"address": "127.0.0.1:7500", "seeds": ["127.0.0.1:0"]},
                  "store": 5,
                  "limits": {"connections": 100001, "drainSeconds": "30"},
                  "tls": {"keyFile": "missing.pem", "roles": {"ann": "admin"}}
                }
                """,
                ":1:1: availabilityZone; the field is required; allowed is 1 to 63 letters,"
                        + " digits and hyphens",
                ":2:15: nodeName is \"under_score\"; allowed is 1 to 63 letters, digits and"
                        + " hyphens",
                ":3:21: region is \"east\"; it is already set in line 3; remove one of the two",
                ":4:26: callers.address is \"localhost:80\"; allowed is IP address and port"
                        + " (1 to 65535), for example \"127.0.0.1:7400\" or \"[::1]:7400\"",
                ":4:42: callers.idleTimeoutMilis is 5; the field is unknown; did you mean"
                        + " \"idleTimeoutMillis\"?",
                ":5:52: peers.seeds[0] is \"127.0.0.1:0\"; allowed is IP address and port"
                        + " (1 to 65535), for example \"127.0.0.1:7400\" or \"[::1]:7400\"",
                ":6:12: store is 5; allowed is an object with the fields address, callsPerSecond,"
                        + " timeoutMillis",
                ":7:29: limits.connections is 100001; allowed is 1 to 100000 connections",
                ":7:53: limits.drainSeconds is \"30\"; allowed is 1 to 3600 s",
                ":8:10: tls.certificateFile; the field is required; allowed is path of a readable"
                        + " file",
                ":8:10: tls.trustFile; the field is required; allowed is path of a readable file",
                ":8:22: tls.keyFile is \"missing.pem\"; allowed is path of a readable file;"
                        + " relative paths start at DIRECTORY",
                ":8:54: tls.roles.ann is \"admin\"; allowed is \"viewer\" or \"operator\"");
    }

    @Test
    public void should_report_listeners_that_cannot_work_together() throws IOException {
        assertProblems(
                "{"
                        + REQUIRED
                        + """
                        "peers": {"address": "0.0.0.0:7500"},
                        "operators": {"address": "0.0.0.0:7400"},
                        "metrics": {"address": "127.0.0.1:8080"}
                        }
                        """,
                ":1:1: peers.advertisedAddress; other nodes cannot connect to this address; set"
                        + " the address of this host",
                ":4:26: operators.address is \"0.0.0.0:7400\"; allowed is a loopback address"
                        + " unless tls is set; add tls",
                ":5:24: metrics.address is \"127.0.0.1:8080\"; the same address is set for"
                        + " callers.address; change one");
    }

    @Test
    public void should_report_malformed_and_missing_files() throws IOException {
        assertProblems(
                "{\"nodeName\": ",
                ":1:14: malformed JSON: Unexpected end-of-input within/between Object entries");
        Path missing = Path.of("does-not-exist.json");
        SettingsResult result = new SettingsLoader().load(missing);
        assertEquals(
                ((SettingsResult.Invalid) result).problems().getFirst().toString(),
                "does-not-exist.json: the file does not exist; copy config/node.example.json and"
                        + " adapt it");
    }

    private static void assertProblems(String json, String... expected) throws IOException {
        Path file = Files.createTempFile("node", ".json");
        Files.writeString(file, json);
        SettingsResult result = new SettingsLoader().load(file);
        assertTrue(result instanceof SettingsResult.Invalid, result.toString());
        List<String> problems =
                ((SettingsResult.Invalid) result)
                        .problems().stream()
                                .map(SettingsProblem::toString)
                                .map(text -> text.replace(file.toString(), ""))
                                .map(text -> text.replace(file.getParent().toString(), "DIRECTORY"))
                                .toList();
        assertEquals(String.join("\n", problems), String.join("\n", expected));
    }
}

package org.arbutuslock.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a process that runs on although its node could not start. */
public class MainTest {
    private static final long LIMIT_SECONDS = 60;
    private static final int EXIT_START_FAILED = 1;

    private static final List<String> LISTENERS =
            List.of("callers", "peers", "announcements", "operators", "metrics");
    private static final int FIRST_PORT = 7_000;

    @DataProvider
    public Object[][] listeners() {
        return LISTENERS.stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "listeners")
    public void should_exit_when_a_port_is_in_use(String listener) throws Exception {
        Path settings = Files.createTempFile("node", ".json");
        Path output = Files.createTempFile("node", ".log");
        // A loopback address of its own, so that no other process uses the ports.
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String host = "127.77." + random.nextInt(256) + "." + random.nextInt(1, 255);
        int port = FIRST_PORT + LISTENERS.indexOf(listener);
        try (ServerSocket taken = new ServerSocket(port, 1, InetAddress.getByName(host))) {
            Files.writeString(settings, settings(host));
            Process process = start(settings, output);
            try {
                assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), listener);
            } finally {
                process.destroyForcibly();
            }
            String text = Files.readString(output);
            assertEquals(process.exitValue(), EXIT_START_FAILED, text);
            assertTrue(
                    text.contains("START_FAILED")
                            && text.contains(host + ":" + taken.getLocalPort()),
                    text);
        } finally {
            Files.delete(settings);
            Files.delete(output);
        }
    }

    private static Process start(Path settings, Path output) throws IOException {
        String java = System.getProperty("java.home") + File.separator + "bin/java";
        List<String> command =
                List.of(
                        java,
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--settings",
                        settings.toString());
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }

    private static String settings(String host) {
        StringBuilder text = new StringBuilder("{\"nodeName\": \"node\", \"region\": \"r\",");
        text.append("\"availabilityZone\": \"z\", \"store\": {\"address\": \"127.0.0.1:1\"}");
        int port = FIRST_PORT;
        for (String listener : LISTENERS) {
            text.append(", \"").append(listener).append("\": {\"address\": \"");
            text.append(host).append(':').append(port++).append("\"}");
        }
        return text.append("}").toString();
    }
}

package org.arbutuslock.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.logging.LogOutput;
import org.arbutuslock.daemon.internal.node.Node;
import org.arbutuslock.daemon.internal.node.SettingsReloader;
import org.arbutuslock.daemon.internal.shutdown.BoundedShutdown;
import org.arbutuslock.daemon.internal.shutdown.ShutdownPlan;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.internal.settings.SettingsLoader;
import org.arbutuslock.internal.settings.SettingsProblem;
import org.arbutuslock.internal.settings.SettingsResult;
import sun.misc.Signal;

/**
 * Runs a node: {@code arbutuslock-node --settings node.json}. SIGTERM starts a graceful shutdown;
 * SIGHUP reloads the settings file. The exit status is 1 when the node cannot start and 2 for a
 * wrong command line or an invalid settings file.
 */
public final class Main {
    private static final EventLogger LOGGER = EventLogger.forComponent("main");
    // Interval at which the settings file is checked for changes without a SIGHUP. A change must be
    // in force within 2 s, so the interval is half of that.
    private static final long RELOAD_CHECK_SECONDS = 1;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_INPUT = 2;

    private Main() {}

    /**
     * Starts the node and returns after it has stopped. Exits the process when the node cannot
     * start.
     *
     * @param arguments command-line arguments
     * @throws InterruptedException when the main thread is interrupted while the node runs
     */
    public static void main(String[] arguments) throws InterruptedException {
        ArgumentParser parser =
                ArgumentParsers.newFor("arbutuslock-node")
                        .build()
                        .defaultHelp(true)
                        .description("Runs one node beside a backend server.");
        parser.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("settings file, JSON with comments");
        try {
            Namespace options = parser.parseArgs(arguments);
            run(Path.of(options.getString("settings")));
        } catch (ArgumentParserException invalid) {
            parser.handleError(invalid);
            System.exit(EXIT_INVALID_INPUT);
        }
    }

    private static void run(Path file) throws InterruptedException {
        switch (new SettingsLoader().load(file)) {
            case SettingsResult.Loaded(NodeSettings settings) -> runNode(file, settings);
            case SettingsResult.Invalid(List<SettingsProblem> problems) -> {
                problems.forEach(System.err::println);
                System.exit(EXIT_INVALID_INPUT);
            }
        }
    }

    private static void runNode(Path file, NodeSettings settings) throws InterruptedException {
        LiveSettings live = new LiveSettings(settings);
        SettingsReloader reloader = new SettingsReloader(file, live);
        // The default action of SIGHUP ends the process.
        Signal.handle(new Signal("HUP"), signal -> reloader.reloadIfChanged());
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            Node node = Node.start(live, Clock.system());
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> shutDown(node, live, stopped), "shutdown"));
        } catch (PluginException | RuntimeException | Error failure) {
            // The threads that were started would keep a process running that serves nothing.
            LOGGER.log(Event.START_FAILED, failure);
            LogOutput.close();
            System.exit(EXIT_START_FAILED);
        }
        while (!stopped.await(RELOAD_CHECK_SECONDS, TimeUnit.SECONDS)) {
            reloader.reloadIfChanged();
        }
    }

    private static void shutDown(Node node, LiveSettings live, CountDownLatch stopped) {
        ShutdownPlan plan = ShutdownPlan.of(live.current());
        BoundedShutdown.run(
                () -> {
                    node.drain();
                    node.stop();
                },
                plan.stopLimit());
        stopped.countDown();
    }
}

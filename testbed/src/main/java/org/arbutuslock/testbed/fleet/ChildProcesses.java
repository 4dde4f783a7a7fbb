package org.arbutuslock.testbed.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts Java processes from this process's class path and ends them. */
final class ChildProcesses implements AutoCloseable {
    private static final long STOP_SECONDS = 20;

    private final Path mLogDirectory;
    private final List<Child> mChildren = new ArrayList<>();

    ChildProcesses(Path logDirectory) {
        mLogDirectory = logDirectory;
    }

    /** Starts a process whose output goes to a log file of its name. */
    Process start(String name, Class<?> mainClass, List<String> arguments) throws IOException {
        Process process =
                new ProcessBuilder(command(mainClass, arguments))
                        .redirectErrorStream(true)
                        .redirectOutput(mLogDirectory.resolve(name + ".log").toFile())
                        .start();
        mChildren.add(new Child(name, process));
        return process;
    }

    /** Runs a process to its end and passes its output on. */
    int run(Class<?> mainClass, List<String> arguments) throws IOException, InterruptedException {
        return new ProcessBuilder(command(mainClass, arguments)).inheritIO().start().waitFor();
    }

    private static List<String> command(Class<?> mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx192m");
        command.add("-XX:+UseSerialGC");
        command.add("--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED");
        command.add("--enable-native-access=ALL-UNNAMED");
        command.add("--sun-misc-unsafe-memory-access=allow");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(arguments);
        return command;
    }

    /** Ends all processes with SIGTERM, the last started first, and prints their exit codes. */
    @Override
    public void close() throws InterruptedException {
        for (Child child : mChildren.reversed()) {
            child.process().destroy();
        }
        for (Child child : mChildren.reversed()) {
            if (!child.process().waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                System.out.println(child.name() + " did not stop within " + STOP_SECONDS + " s");
                child.process().destroyForcibly().waitFor();
            }
        }
    }

    private record Child(String name, Process process) {}
}

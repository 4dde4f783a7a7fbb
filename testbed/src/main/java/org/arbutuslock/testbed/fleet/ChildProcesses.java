package org.arbutuslock.testbed.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts Java processes with the class path of this process and stops them on close. */
final class ChildProcesses implements AutoCloseable {
    private static final long STOP_SECONDS = 20;

    private final Path mLogDirectory;
    private final List<Child> mChildren = new ArrayList<>();

    ChildProcesses(Path logDirectory) {
        mLogDirectory = logDirectory;
    }

    /**
     * Starts a process. Standard output and standard error go to {@code <name>.log} in the log
     * directory.
     */
    Process start(String name, Class<?> mainClass, List<String> arguments) throws IOException {
        Process process =
                new ProcessBuilder(command(mainClass, arguments))
                        .redirectErrorStream(true)
                        .redirectOutput(mLogDirectory.resolve(name + ".log").toFile())
                        .start();
        mChildren.add(new Child(name, process));
        return process;
    }

    /** Runs a process with the output streams of this process and returns its exit code. */
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

    /**
     * Sends SIGTERM to all processes in reverse order of their start. A process that has not exited
     * 20 s later is reported on standard output and killed.
     */
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

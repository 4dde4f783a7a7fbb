package org.arbutuslock.internal.plugins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.testng.annotations.Test;

/**
 * Guards against plug-ins that are started before the plug-ins they require, or despite a missing
 * or cyclic requirement.
 */
public class PluginRuntimeTest {
    private final List<String> mSteps = new ArrayList<>();

    @Test
    public void should_start_in_order_of_requirements_and_stop_in_reverse() throws Exception {
        mSteps.clear();
        PluginRuntime runtime =
                new PluginRuntime(
                        List.of(plugin("late", Set.of("early")), plugin("early", Set.of())));
        runtime.start();
        runtime.stop();
        assertEquals(mSteps, List.of("start early", "start late", "stop late", "stop early"));
    }

    @Test
    public void should_name_both_plugins_of_a_missing_requirement() throws Exception {
        PluginRuntime runtime = new PluginRuntime(List.of(plugin("peers", Set.of("settings"))));
        PluginException error = expectThrows(PluginException.class, runtime::start);
        assertTrue(error.getMessage().contains("\"peers\" requires \"settings\""));
    }

    @Test
    public void should_refuse_a_cycle() throws Exception {
        PluginRuntime runtime =
                new PluginRuntime(
                        List.of(plugin("one", Set.of("two")), plugin("two", Set.of("one"))));
        expectThrows(PluginException.class, runtime::start);
    }

    /** Guards against a process that runs on after its start ended in an exception. */
    @Test
    public void should_stop_started_plugins_when_one_throws_an_undeclared_exception() {
        mSteps.clear();
        Plugin failing =
                new SteppingPlugin("failing", Set.of("early")) {
                    @Override
                    public void start(PluginContext context) {
                        throwUndeclared(new IOException("port 7000 is in use"));
                    }
                };
        PluginRuntime runtime = new PluginRuntime(List.of(failing, plugin("early", Set.of())));
        PluginException error = expectThrows(PluginException.class, runtime::start);
        assertEquals(mSteps, List.of("start early", "stop early"));
        assertTrue(error.getMessage().contains("\"failing\" could not be started"));
        assertTrue(error.getMessage().contains("port 7000 is in use"));
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void throwUndeclared(Throwable thrown) throws T {
        throw (T) thrown;
    }

    private Plugin plugin(String name, Set<String> requires) {
        return new SteppingPlugin(name, requires);
    }

    /** Records its start and its stop. */
    private class SteppingPlugin implements Plugin {
        private final String mName;
        private final Set<String> mRequires;

        private SteppingPlugin(String name, Set<String> requires) {
            mName = name;
            mRequires = requires;
        }

        @Override
        public String name() {
            return mName;
        }

        @Override
        public Set<String> requires() {
            return mRequires;
        }

        @Override
        public void start(PluginContext context) {
            mSteps.add("start " + mName);
        }

        @Override
        public void stop() {
            mSteps.add("stop " + mName);
        }
    }
}

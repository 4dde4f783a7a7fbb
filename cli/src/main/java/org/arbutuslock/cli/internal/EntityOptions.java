package org.arbutuslock.cli.internal;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.WorkClass;

/** Static helpers for options that set fields of entities. */
final class EntityOptions {
    private EntityOptions() {}

    static void addNumberOption(
            ArgumentParser parser, String option, boolean required, String help) {
        // The node checks the allowed range of each field, so that all clients get the same limits.
        parser.addArgument(option)
                .metavar("NUMBER")
                .type(Integer.class)
                .choices(Arguments.range(0, Integer.MAX_VALUE))
                .required(required)
                .help(help);
    }

    static void setIfNumberGiven(Namespace arguments, String name, IntConsumer setter) {
        Integer value = arguments.getInt(name);
        if (value != null) {
            setter.accept(value);
        }
    }

    static void setIfTextGiven(Namespace arguments, String name, Consumer<String> setter) {
        String value = arguments.getString(name);
        if (value != null) {
            setter.accept(value);
        }
    }

    static String formatWorkClass(WorkClass workClass) {
        return workClass.name().replace("WORK_CLASS_", "").toLowerCase(Locale.ROOT);
    }
}

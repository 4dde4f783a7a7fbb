package org.arbutuslock.cli.internal;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options of the commands that change the configuration.
 *
 * @param author name to record with the change; with TLS the node uses the certificate's name
 * @param waitForNodes whether to wait until the change is in force on all nodes
 */
record ChangeOptions(String author, boolean waitForNodes) {
    static void addTo(ArgumentParser parser) {
        parser.addArgument("--author")
                .metavar("NAME")
                .setDefault(System.getProperty("user.name", "unknown"))
                .help(
                        "name recorded with the change; default is the login name; with TLS the"
                                + " node records the name of the certificate instead");
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the change is in force on all nodes");
    }

    static ChangeOptions read(Namespace arguments) {
        return new ChangeOptions(arguments.getString("author"), arguments.getBoolean("wait"));
    }
}

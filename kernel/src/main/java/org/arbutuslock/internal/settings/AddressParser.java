package org.arbutuslock.internal.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads an IP address and port without asking a name service. */
final class AddressParser {
    private static final int MAXIMUM_PORT = 65_535;

    /** InetAddress also accepts short forms such as "127.1", which are easily mistyped. */
    private static final Pattern FORM =
            Pattern.compile("(\\d+\\.\\d+\\.\\d+\\.\\d+|\\[[^\\]]+\\]):(\\d{1,5})");

    private AddressParser() {}

    static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAXIMUM_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new InetSocketAddress(InetAddress.ofLiteral(matcher.group(1)), port));
        } catch (IllegalArgumentException notAnAddress) {
            return Optional.empty();
        }
    }
}

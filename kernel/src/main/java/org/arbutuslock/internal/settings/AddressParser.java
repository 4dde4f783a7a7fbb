package org.arbutuslock.internal.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses an IP address and port, without name resolution. Never blocks. */
public final class AddressParser {
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Requires all four parts of an IPv4 address. InetAddress also accepts short forms such as
     * "127.1", which are often typing errors.
     */
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d+\\.\\d+\\.\\d+\\.\\d+|\\[[^\\]]+\\]):(\\d{1,5})");

    private AddressParser() {}

    /**
     * Parses an address.
     *
     * @param text IP address, colon and port; an IPv6 address is in square brackets
     * @return the address, or empty for malformed text, host names and ports outside 1 to 65535
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
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
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}

package org.arbutuslock.cli.internal;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parser of an IP address and port, for example {@code 127.0.0.1:7400} or {@code [::1]:7400}. */
final class SocketAddressParser {
    private static final int MAXIMUM_PORT = 65_535;

    private SocketAddressParser() {}

    static InetSocketAddress parse(String text, String origin) throws CommandException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? text : text.substring(0, colon);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            boolean wrongPort = colon < 0 || port < 1 || port > MAXIMUM_PORT;
            if (wrongPort || !hasLiteralForm(host)) {
                throw malformed(text, origin);
            }
            return new InetSocketAddress(InetAddress.ofLiteral(host), port);
        } catch (IllegalArgumentException notAnAddress) {
            throw malformed(text, origin);
        }
    }

    /**
     * Returns whether the host is a bracketed IPv6 address or an IPv4 address with four numbers.
     * InetAddress also accepts short IPv4 forms such as "127.1", which are easily mistyped.
     */
    private static boolean hasLiteralForm(String host) {
        boolean ipv6 = host.startsWith("[") && host.endsWith("]");
        return ipv6 || host.matches("\\d+\\.\\d+\\.\\d+\\.\\d+");
    }

    private static CommandException malformed(String text, String origin) {
        return new CommandException(
                ExitCode.USAGE,
                origin
                        + " is \""
                        + text
                        + "\"; give an IP address and a port of 1 to 65535, for example"
                        + " 127.0.0.1:7400 or [::1]:7400");
    }
}

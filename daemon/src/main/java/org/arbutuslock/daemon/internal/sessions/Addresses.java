package org.arbutuslock.daemon.internal.sessions;

import java.net.InetSocketAddress;

/** Converts addresses between text such as {@code 127.0.0.1:7000} and socket addresses. */
public final class Addresses {
    private Addresses() {}

    /**
     * Formats an address.
     *
     * @param address resolved IP address and port
     * @return IP address, colon and port; an IPv6 address is in square brackets
     */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /**
     * Parses an address.
     *
     * @param text result of {@link #format}
     * @return IP address and port
     * @throws IllegalArgumentException when the text has no port or the port is not a number from 0
     *     to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "address \"" + text + "\" has no port; write IP:port");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

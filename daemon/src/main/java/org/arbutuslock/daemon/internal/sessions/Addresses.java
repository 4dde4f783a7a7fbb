package org.arbutuslock.daemon.internal.sessions;

import java.net.InetSocketAddress;

/** Formats socket addresses as text such as {@code 127.0.0.1:7000}. */
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
}

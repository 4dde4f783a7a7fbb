package org.arbutuslock.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds ports on the loopback address that nothing listens on. */
public final class FreePorts {
    private static final Set<Integer> RETURNED_PORTS = new HashSet<>();

    private FreePorts() {}

    /**
     * Finds a port that was not returned before.
     *
     * @return loopback address with a free port
     */
    public static synchronized InetSocketAddress next() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (RETURNED_PORTS.add(socket.getLocalPort())) {
                    return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
                }
            } catch (IOException failed) {
                throw new IllegalStateException("no free port on the loopback address", failed);
            }
        }
    }
}

package org.arbutuslock.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds unused TCP ports on the loopback address. */
public final class FreePorts {
    private static final Set<Integer> RETURNED_PORTS = new HashSet<>();

    private FreePorts() {}

    /**
     * Finds a port that no process listens on and that was not returned before in this process. The
     * port is not reserved: another process may bind it first.
     *
     * @return loopback address with the port
     * @throws IllegalStateException when no port can be bound
     */
    public static synchronized InetSocketAddress next() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (RETURNED_PORTS.add(socket.getLocalPort())) {
                    return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
                }
            } catch (IOException failed) {
                throw new IllegalStateException(
                        "cannot bind a free port on the loopback address", failed);
            }
        }
    }
}

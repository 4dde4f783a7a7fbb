package org.arbutuslock.internal.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one node. {@code docs/settings.md} describes every field with its range. The
 * incarnation of a node is not a setting; it is the wall-clock time of the start.
 *
 * @param nodeName unique name of the node
 * @param region region of the host
 * @param availabilityZone availability zone of the host
 * @param callers listener for callers
 * @param peers connections between nodes
 * @param announcements listener at which backend servers announce themselves
 * @param operators listener for operators
 * @param metrics listener for metrics
 * @param store the platform's key-value store
 * @param limits limits on memory and concurrent work of the node
 * @param integration environment that supplies store, configuration and headers
 * @param service service of the backend server on this host, or empty when it is not set
 * @param bounds limits that the operators of the fleet have committed to
 * @param tls mutual TLS authentication of operators, or empty when it is not configured
 */
public record NodeSettings(
        String nodeName,
        String region,
        String availabilityZone,
        Callers callers,
        Peers peers,
        Announcements announcements,
        Operators operators,
        Metrics metrics,
        Store store,
        Limits limits,
        Integration integration,
        String service,
        Bounds bounds,
        Optional<Tls> tls) {
    /**
     * Returns a copy of these settings with other bounds.
     *
     * @param other bounds of the copy
     * @return copy that differs in its bounds only
     */
    public NodeSettings withBounds(Bounds other) {
        return new NodeSettings(
                nodeName,
                region,
                availabilityZone,
                callers,
                peers,
                announcements,
                operators,
                metrics,
                store,
                limits,
                integration,
                service,
                other,
                tls);
    }

    /** Environment into which a node is integrated. */
    public enum Integration {
        /** The store protocol, configuration and headers of this project. */
        NONE,
        /** The store protocol, configuration and headers of the platform that runs the node. */
        PLATFORM
    }

    /**
     * Limits that apply to a whole fleet.
     *
     * @param floorShare smallest share of a service's endpoints that ejection leaves in service, 0
     *     to 1
     * @param departureSeconds time after which a departing endpoint gets no new requests
     * @param retryRatio retries of a service as a share of its requests, 0 to 1
     * @param retryExtra further retries of a service in one window, beyond the ratio
     * @param retryWindowSeconds length of the window in which retries are counted
     * @param stopSeconds longest time that a graceful shutdown may take
     */
    public record Bounds(
            double floorShare,
            double departureSeconds,
            double retryRatio,
            double retryExtra,
            double retryWindowSeconds,
            double stopSeconds) {}

    /**
     * Listener for callers.
     *
     * @param address address to listen on
     * @param maximumHeaderBytes largest size of a request line, and of the header fields behind it
     * @param idleTimeoutMillis time after which an idle connection is closed
     * @param zonePenaltyMillis latency that is added to an endpoint in another availability zone of
     *     the region for comparison, because traffic between zones costs money; 0 compares latency
     *     alone
     * @param regionPenaltyMillis latency that is added to an endpoint in another region for
     *     comparison, because traffic between regions costs money; 0 compares latency alone
     */
    public record Callers(
            InetSocketAddress address,
            int maximumHeaderBytes,
            int idleTimeoutMillis,
            int zonePenaltyMillis,
            int regionPenaltyMillis) {}

    /**
     * Connections between nodes.
     *
     * @param address address to listen on
     * @param advertisedAddress address at which other nodes reach this one
     * @param seeds nodes that a starting node asks for the other members; empty for the first node
     *     of a fleet
     */
    public record Peers(
            InetSocketAddress address,
            InetSocketAddress advertisedAddress,
            List<InetSocketAddress> seeds) {}

    /**
     * Listener at which backend servers announce themselves.
     *
     * @param address address to listen on, reachable only from this host
     * @param leaseSeconds time after which an announcement expires unless it is renewed
     */
    public record Announcements(InetSocketAddress address, double leaseSeconds) {}

    /**
     * Listener for operators.
     *
     * @param address address to listen on; a loopback address unless TLS is configured
     */
    public record Operators(InetSocketAddress address) {}

    /**
     * Listener for metrics.
     *
     * @param address address to listen on
     * @param readinessAddress second address that serves the same pages, for readiness checks of a
     *     load balancer; equal to {@code address} when there is no second listener
     */
    public record Metrics(InetSocketAddress address, InetSocketAddress readinessAddress) {}

    /**
     * The platform's key-value store.
     *
     * @param address address of the store
     * @param callsPerSecond largest number of calls per second that this node makes
     * @param timeoutMillis time to wait for a response
     */
    public record Store(InetSocketAddress address, int callsPerSecond, int timeoutMillis) {}

    /**
     * Limits on memory and concurrent work of the node.
     *
     * @param keptResponseBytes memory for responses that are stored until they are acknowledged
     * @param queueLengthPerEndpoint largest number of requests that wait for one endpoint
     * @param drainSeconds time after which a graceful shutdown stops waiting for requests in
     *     progress
     * @param connections largest number of open connections of callers
     */
    public record Limits(
            long keptResponseBytes,
            int queueLengthPerEndpoint,
            int drainSeconds,
            int connections) {}

    /**
     * Mutual TLS authentication of operators.
     *
     * @param certificateFile PEM file with the node's certificate chain
     * @param keyFile PEM file with the private key of the certificate
     * @param trustFile PEM file with the certificate authorities that sign operators' certificates
     * @param roles common names of operators' certificates and their roles
     */
    public record Tls(
            Path certificateFile, Path keyFile, Path trustFile, Map<String, Role> roles) {}

    /** Permissions of an operator. */
    public enum Role {
        /** May call read-only methods. */
        VIEWER,
        /** May call all methods. */
        OPERATOR
    }
}

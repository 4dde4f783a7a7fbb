package org.arbutuslock.internal.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one node. {@code docs/settings.md} describes every field with its range. The
 * incarnation of a node is not a setting; it comes from the clock.
 *
 * @param nodeName unique name of the node
 * @param region region of the host
 * @param availabilityZone availability zone of the host
 * @param callers listener for callers
 * @param peers connections between nodes
 * @param announcements listener for backend servers' announcements
 * @param operators listener for operators
 * @param metrics listener for metrics
 * @param store the platform's key-value store
 * @param limits bounds on memory and work
 * @param tls mutual authentication of operators, or empty for none
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
        Optional<Tls> tls) {
    /**
     * Listener for callers.
     *
     * @param address address to listen on
     * @param maximumHeaderBytes largest request head
     * @param idleTimeoutMillis time after which an idle connection is closed
     */
    public record Callers(
            InetSocketAddress address, int maximumHeaderBytes, int idleTimeoutMillis) {}

    /**
     * Connections between nodes.
     *
     * @param address address to listen on
     * @param advertisedAddress address at which other nodes reach this one
     * @param seeds nodes to ask for the others at the start; empty for the first node of a fleet
     */
    public record Peers(
            InetSocketAddress address,
            InetSocketAddress advertisedAddress,
            List<InetSocketAddress> seeds) {}

    /**
     * Listener for backend servers' announcements.
     *
     * @param address loopback address to listen on
     */
    public record Announcements(InetSocketAddress address) {}

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
     */
    public record Metrics(InetSocketAddress address) {}

    /**
     * The platform's key-value store.
     *
     * @param address address of the store
     * @param callsPerSecond most calls that this node makes
     * @param timeoutMillis time to wait for a response
     */
    public record Store(InetSocketAddress address, int callsPerSecond, int timeoutMillis) {}

    /**
     * Bounds on memory and work.
     *
     * @param keptResponseBytes memory for responses that are kept until they are acknowledged
     * @param queueLengthPerEndpoint most requests that wait for one endpoint
     * @param drainSeconds longest graceful shutdown
     * @param connections most connections of callers
     */
    public record Limits(
            long keptResponseBytes,
            int queueLengthPerEndpoint,
            int drainSeconds,
            int connections) {}

    /**
     * Mutual authentication of operators.
     *
     * @param certificateFile PEM file with the node's certificate chain
     * @param keyFile PEM file with the private key of the certificate
     * @param trustFile PEM file with the authorities that sign operators' certificates
     * @param roles common names of operators' certificates and their roles
     */
    public record Tls(
            Path certificateFile, Path keyFile, Path trustFile, Map<String, Role> roles) {}

    /** What an operator may do. */
    public enum Role {
        /** May call the methods that read. */
        VIEWER,
        /** May call all methods. */
        OPERATOR
    }
}

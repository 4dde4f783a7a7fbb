package org.arbutuslock.api;

/**
 * Describes an operation that failed, where it failed and why.
 *
 * <pre>{@code
 * new Failure("connect", "127.0.0.1:7002", "connection refused; check that the node runs");
 * }</pre>
 *
 * @param step operation that failed
 * @param peer address or name of the process where the operation failed
 * @param reason cause of the failure and how to resolve it
 */
public record Failure(String step, String peer, String reason) {
    @Override
    public String toString() {
        return step + " failed at " + peer + ": " + reason;
    }
}

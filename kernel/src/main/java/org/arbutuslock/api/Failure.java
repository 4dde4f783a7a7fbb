package org.arbutuslock.api;

/**
 * Describes a failed step and where it arose.
 *
 * <pre>{@code
 * new Failure("connect", "127.0.0.1:7002", "connection refused; check that the node runs");
 * }</pre>
 *
 * @param step what was being done
 * @param peer address or name of the process at which the failure arose
 * @param reason what happened and what to do about it
 */
public record Failure(String step, String peer, String reason) {
    @Override
    public String toString() {
        return step + " failed at " + peer + ": " + reason;
    }
}

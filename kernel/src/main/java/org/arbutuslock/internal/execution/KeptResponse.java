package org.arbutuslock.internal.execution;

/** A complete response that the ledger keeps for delivery over a new session. Immutable. */
public interface KeptResponse {
    /**
     * Returns the memory that this response occupies.
     *
     * @return bytes of head and body
     */
    int sizeBytes();
}

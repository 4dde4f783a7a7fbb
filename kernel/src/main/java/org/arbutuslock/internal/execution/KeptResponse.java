package org.arbutuslock.internal.execution;

/**
 * A complete response that the ledger keeps, so that it can be delivered over a new session when
 * the original session is lost. Immutable.
 */
public interface KeptResponse {
    /**
     * Returns the size that counts against the limits of the ledger.
     *
     * @return bytes of head and body
     */
    int sizeBytes();
}

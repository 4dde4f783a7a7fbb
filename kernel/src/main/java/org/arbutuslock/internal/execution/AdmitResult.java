package org.arbutuslock.internal.execution;

/** Outcome of {@link ExecutionLedger#admit}. */
public sealed interface AdmitResult {
    /**
     * The request is new and was recorded as queued.
     *
     * @param record record of the request
     */
    record Admitted(ExecutionRecord record) implements AdmitResult {}

    /**
     * The request id is already recorded. This copy must be dropped.
     *
     * @param state state of the existing record
     */
    record Duplicate(ExecutionState state) implements AdmitResult {}

    /** The session is fenced or was never opened. This copy must be dropped. */
    record SessionFenced() implements AdmitResult {}

    /**
     * A late copy of a request whose record was removed. The outcome of the original is unknown.
     */
    record Forgotten() implements AdmitResult {}

    /**
     * The ledger has no room for another record. The request has not run. Its session was fenced,
     * so that no later copy is admitted, and must be closed.
     */
    record LedgerFull() implements AdmitResult {}
}

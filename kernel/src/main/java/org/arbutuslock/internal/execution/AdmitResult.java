package org.arbutuslock.internal.execution;

/** Outcome of {@link ExecutionLedger#admit}. */
public sealed interface AdmitResult {
    /**
     * The request is new and queued.
     *
     * @param record its record
     */
    record Admitted(ExecutionRecord record) implements AdmitResult {}

    /**
     * The request id is already recorded; this copy must be dropped.
     *
     * @param state state of the existing record
     */
    record Duplicate(ExecutionState state) implements AdmitResult {}

    /** The session is fenced or was never opened; the copy must be dropped. */
    record SessionFenced() implements AdmitResult {}

    /** A late copy of a request whose record is no longer kept; its outcome is unknown. */
    record Forgotten() implements AdmitResult {}

    /**
     * No record is free. The request has not run, and its session was fenced so that no later copy
     * is admitted; the session must be closed.
     */
    record LedgerFull() implements AdmitResult {}
}

package org.arbutuslock.internal.progress;

/** Minimum health of a backend server for the execution of a submission. */
public enum RequiredHealth {
    /** Any health, because no other endpoint takes the request. */
    ANY,
    /** The server must not be suspect, see {@link ProgressMonitor#isSuspect}. */
    NOT_SUSPECT,
    /** The server must be proven, see {@link ProgressMonitor#isProven}. */
    PROVEN
}

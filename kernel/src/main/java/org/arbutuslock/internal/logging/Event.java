package org.arbutuslock.internal.logging;

import java.lang.System.Logger.Level;

/**
 * Every log event with its number. {@code docs/events.md} lists the same numbers. Ranges: 1000
 * process and plug-ins, 2000 callers, 3000 sessions between nodes, 4000 backend servers, 5000
 * ejection, 6000 membership, 7000 configuration and store, 8000 operators.
 */
public enum Event {
    /** The node serves requests. */
    NODE_STARTED(1001, Level.INFO, "node {0} started with incarnation {1}"),
    /** A plug-in has started. */
    PLUGIN_STARTED(1002, Level.DEBUG, "plug-in {0} started"),
    /** A graceful shutdown has begun. */
    NODE_DRAINING(1003, Level.INFO, "graceful shutdown of node {0} started"),
    /** The process ends. */
    NODE_STOPPED(1004, Level.INFO, "node {0} stopped"),
    /** The node cannot start. */
    START_FAILED(1005, Level.ERROR, "start failed: {0}"),
    /** The operators' service accepts calls. */
    OPERATORS_LISTENING(8001, Level.INFO, "operators can call {0}; mutual TLS: {1}"),
    /** Changed certificates are in use for new connections. */
    OPERATOR_TLS_RELOADED(8002, Level.INFO, "certificates reloaded from {0}, {1} and {2}"),
    /** Changed certificates cannot be used; the earlier ones stay in use. */
    OPERATOR_TLS_REJECTED(8003, Level.WARNING, "changed certificates rejected: {0}"),
    /** An operator called a method that changes something. */
    OPERATOR_CALL(8004, Level.INFO, "operator {0} called {1}"),
    /** A call was refused because of the role of the caller. */
    OPERATOR_CALL_DENIED(8005, Level.WARNING, "call of {0} denied: {1}"),
    /** A call failed because of a fault in the node. */
    OPERATOR_CALL_FAILED(8006, Level.ERROR, "call of {0} failed: {1}");

    private final int mNumber;
    private final Level mLevel;
    private final String mTemplate;

    Event(int number, Level level, String template) {
        mNumber = number;
        mLevel = level;
        mTemplate = template;
    }

    /**
     * Returns the number under which the catalogue lists this event.
     *
     * @return a number that is never used for another event
     */
    public int number() {
        return mNumber;
    }

    /**
     * Returns the severity.
     *
     * @return level of the system logger
     */
    public Level level() {
        return mLevel;
    }

    /**
     * Returns the message with numbered placeholders.
     *
     * @return a {@link java.text.MessageFormat} pattern
     */
    public String template() {
        return mTemplate;
    }
}

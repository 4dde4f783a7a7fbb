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
    /** The connection to the store failed; logged once until it works again. */
    STORE_DISCONNECTED(7901, Level.WARNING, "store {0} is not reachable: {1}"),
    /** The store responds again. */
    STORE_CONNECTED(7902, Level.INFO, "store {0} responds again");

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

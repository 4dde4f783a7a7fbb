package org.arbutuslock.internal.logging;

/**
 * Writes log events to the system logger, each as one line of {@code key=value} pairs. Thread-safe.
 *
 * <pre>{@code
 * EventLogger logger = EventLogger.forComponent("peers");
 * logger.log(Event.NODE_STARTED, "calgary-a-1", 7);
 * // event=1001 name=NODE_STARTED component=peers message="node calgary-a-1 started ..."
 * }</pre>
 */
public final class EventLogger {
    private final System.Logger mLogger;
    private final String mComponent;

    private EventLogger(System.Logger logger, String component) {
        mLogger = logger;
        mComponent = component;
    }

    /**
     * Creates the logger of a component.
     *
     * @param component value of {@code component=} in each line, and last part of the logger name
     * @return logger for {@code org.arbutuslock.} followed by the component
     */
    public static EventLogger forComponent(String component) {
        return new EventLogger(System.getLogger("org.arbutuslock." + component), component);
    }

    /**
     * Writes an event if its level is enabled. Line feeds and double quotation marks in the message
     * are replaced, so that the line can be parsed.
     *
     * @param event event to write
     * @param arguments values of the placeholders, in the order of their numbers
     */
    public void log(Event event, Object... arguments) {
        if (mLogger.isLoggable(event.level())) {
            mLogger.log(event.level(), formatLine(event, arguments));
        }
    }

    private String formatLine(Event event, Object[] arguments) {
        return "event="
                + event.number()
                + " name="
                + event.name()
                + " component="
                + mComponent
                + " message=\""
                + formatMessage(event, arguments).replace("\"", "'").replace("\n", " ")
                + "\"";
    }

    private static String formatMessage(Event event, Object[] arguments) {
        StringBuilder message = new StringBuilder();
        event.parsedTemplate().format(message, arguments);
        return message.toString();
    }
}

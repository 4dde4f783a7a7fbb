package org.arbutuslock.daemon.internal.exchange;

/** Gets the events of one exchange in order, from any thread, one at a time. */
@FunctionalInterface
public interface ResponseListener {
    /**
     * Handles one event. After {@link ResponseEvent.Refused}, {@link ResponseEvent.OutcomeUnknown},
     * {@link ResponseEvent.SessionLost} or the last body part no further event follows.
     *
     * @param event the event
     */
    void handle(ResponseEvent event);
}

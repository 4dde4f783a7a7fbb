package org.arbutuslock.daemon.internal.exchange;

/** Receives the events of one exchange in order. Calls come from any thread, but never overlap. */
@FunctionalInterface
public interface ResponseListener {
    /**
     * Handles one event. No further event follows after {@link ResponseEvent.Refused}, {@link
     * ResponseEvent.OutcomeUnknown}, {@link ResponseEvent.SessionLost} or the last body part.
     *
     * @param event the event
     */
    void handle(ResponseEvent event);
}

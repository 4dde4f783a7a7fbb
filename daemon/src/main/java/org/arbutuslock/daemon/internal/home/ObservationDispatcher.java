package org.arbutuslock.daemon.internal.home;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.arbutuslock.api.EndpointId;

/** Passes observations on to every registered listener. */
public final class ObservationDispatcher implements ObservationListener {
    private final List<ObservationListener> mListeners = new CopyOnWriteArrayList<>();

    /** Creates a dispatcher without listeners. */
    public ObservationDispatcher() {}

    /**
     * Registers a listener.
     *
     * @param listener gets all later observations
     */
    public void addListener(ObservationListener listener) {
        mListeners.add(listener);
    }

    @Override
    public void observed(EndpointId endpoint, Observation observation) {
        for (ObservationListener listener : mListeners) {
            listener.observed(endpoint, observation);
        }
    }
}

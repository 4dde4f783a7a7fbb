package org.arbutuslock.internal.ejection;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;

/** Collects the actions of one call to the {@link EjectionCoordinator}, in order. */
final class ActionList {
    private List<EjectionAction> mActions = new ArrayList<>();

    void add(EjectionAction action) {
        mActions.add(action);
    }

    void send(EndpointId destination, ReservationMessage message) {
        mActions.add(new EjectionAction.Send(destination, message));
    }

    List<EjectionAction> pollAll() {
        if (mActions.isEmpty()) {
            return List.of();
        }
        List<EjectionAction> taken = mActions;
        mActions = new ArrayList<>();
        return taken;
    }
}

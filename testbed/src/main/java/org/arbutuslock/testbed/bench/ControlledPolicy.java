package org.arbutuslock.testbed.bench;

import java.util.IdentityHashMap;
import java.util.Map;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.admission.AdmissionController;
import org.arbutuslock.internal.admission.AdmissionSettings;
import org.arbutuslock.internal.admission.Completion;
import org.arbutuslock.internal.admission.Decisions;
import org.arbutuslock.internal.admission.OfferResult;
import org.arbutuslock.internal.admission.Refusal;
import org.arbutuslock.internal.admission.Ticket;

/** Admits requests with the {@link AdmissionController} that nodes use. */
final class ControlledPolicy implements AdmissionPolicy {
    private static final int PRIORITY = 5;

    private final AdmissionController<SimulatedRequest> mController;
    private final Effects mEffects;
    private final Map<SimulatedRequest, Ticket<SimulatedRequest>> mTickets =
            new IdentityHashMap<>();

    ControlledPolicy(Clock clock, int slots, Effects effects) {
        mController = new AdmissionController<>(clock, AdmissionSettings.forSlots(slots));
        mEffects = effects;
    }

    @Override
    public void offer(SimulatedRequest request) {
        Ticket<SimulatedRequest> ticket =
                new Ticket<>(
                        request,
                        request.workClass().name(),
                        request.workClass(),
                        PRIORITY,
                        "tenant",
                        1,
                        request.deadlineNanos());
        mTickets.put(request, ticket);
        switch (mController.offer(ticket)) {
            case OfferResult.Dispatch<SimulatedRequest> now -> mEffects.dispatch(request);
            case OfferResult.Queued<SimulatedRequest>(var displaced) ->
                    displaced.forEach(this::refuse);
            case OfferResult.Refused<SimulatedRequest>(var refusal) -> refuse(refusal);
        }
    }

    @Override
    public void finish(SimulatedRequest request, Completion completion) {
        apply(mController.finished(mTickets.remove(request), completion));
    }

    @Override
    public void poll() {
        apply(mController.poll());
    }

    private void apply(Decisions<SimulatedRequest> decisions) {
        decisions.dispatch().forEach(ticket -> mEffects.dispatch(ticket.request()));
        decisions.refuse().forEach(this::refuse);
    }

    private void refuse(Refusal<SimulatedRequest> refusal) {
        mTickets.remove(refusal.ticket().request());
        mEffects.refuse(refusal.ticket().request());
    }
}

package org.arbutuslock.internal.admission;

import org.arbutuslock.api.WorkClass;

/**
 * A request with the properties that an {@link AdmissionController} needs to decide on it. A ticket
 * is offered once.
 *
 * @param <T> type of the request
 */
public final class Ticket<T> {
    /** Highest priority. */
    public static final int MAXIMUM_PRIORITY = 9;

    enum Stage {
        NEW,
        QUEUED,
        DISPATCHED,
        CLOSED
    }

    private final T mRequest;
    private final String mRoute;
    private final WorkClass mWorkClass;
    private final int mPriority;
    private final String mTenant;
    private final int mTenantWeight;
    private final long mDeadlineNanos;
    private final long mObjectiveNanos;
    private Stage mStage = Stage.NEW;
    private long mSequence;
    private long mArrivedNanos;
    private long mDispatchedNanos;
    private boolean mCommitted;
    private boolean mTrial;

    /**
     * Creates a ticket without a latency objective.
     *
     * @param request the request
     * @param route name of the route, whose requests are expected to take about the same time
     * @param workClass short or long work
     * @param priority 0 (dropped first) to 9 (dropped last)
     * @param tenant name of the tenant
     * @param tenantWeight share of the tenant relative to others, at least 1
     * @param deadlineNanos reading of the controller's clock at which the caller gives up
     */
    public Ticket(
            T request,
            String route,
            WorkClass workClass,
            int priority,
            String tenant,
            int tenantWeight,
            long deadlineNanos) {
        this(request, route, workClass, priority, tenant, tenantWeight, deadlineNanos, 0);
    }

    /**
     * Creates a ticket with a latency objective.
     *
     * @param request the request
     * @param route name of the route, whose requests are expected to take about the same time
     * @param workClass short or long work
     * @param priority 0 (dropped first) to 9 (dropped last)
     * @param tenant name of the tenant
     * @param tenantWeight share of the tenant relative to others, at least 1
     * @param deadlineNanos reading of the controller's clock at which the caller gives up
     * @param objectiveNanos time in which the caller wants the response, or 0 for no objective
     * @throws IllegalArgumentException when the priority or the weight is out of range
     */
    public Ticket(
            T request,
            String route,
            WorkClass workClass,
            int priority,
            String tenant,
            int tenantWeight,
            long deadlineNanos,
            long objectiveNanos) {
        if (priority < 0 || priority > MAXIMUM_PRIORITY || tenantWeight < 1) {
            throw new IllegalArgumentException(
                    "priority must be 0 to 9 and the tenant weight at least 1, but priority="
                            + priority
                            + ", weight="
                            + tenantWeight);
        }
        mRequest = request;
        mRoute = route;
        mWorkClass = workClass;
        mPriority = priority;
        mTenant = tenant;
        mTenantWeight = tenantWeight;
        mDeadlineNanos = deadlineNanos;
        mObjectiveNanos = objectiveNanos;
    }

    /**
     * Returns the request.
     *
     * @return the request as passed to the constructor
     */
    public T request() {
        return mRequest;
    }

    /**
     * Returns the class of work.
     *
     * @return short or long
     */
    public WorkClass workClass() {
        return mWorkClass;
    }

    /**
     * Returns the time that the request spent in the queue.
     *
     * @return nanoseconds from the offer to the dispatch; 0 before the dispatch, and for a request
     *     that ended without one
     */
    public long waitedNanos() {
        return mStage == Stage.DISPATCHED || mStage == Stage.CLOSED
                ? mDispatchedNanos - mArrivedNanos
                : 0;
    }

    String route() {
        return mRoute;
    }

    int priority() {
        return mPriority;
    }

    String tenant() {
        return mTenant;
    }

    int tenantWeight() {
        return mTenantWeight;
    }

    long objectiveNanos() {
        return mObjectiveNanos;
    }

    long remainingNanos(long now) {
        return mDeadlineNanos - now;
    }

    void markOffered(long now, long sequence) {
        if (mStage != Stage.NEW) {
            throw new IllegalStateException(
                    "the ticket was already offered; create a new one for each request");
        }
        mArrivedNanos = now;
        mDispatchedNanos = now;
        mSequence = sequence;
    }

    void markDispatched(long now) {
        mDispatchedNanos = now;
        mStage = Stage.DISPATCHED;
    }

    void enter(Stage stage) {
        mStage = stage;
    }

    Stage stage() {
        return mStage;
    }

    long ageNanos(long now) {
        return now - mArrivedNanos;
    }

    long inFlightNanos(long now) {
        return now - mDispatchedNanos;
    }

    /** Protects the queued request from being displaced by later requests. */
    void commit() {
        mCommitted = true;
    }

    boolean isCommitted() {
        return mCommitted;
    }

    /** Marks a request that is admitted to measure the latency of its route. */
    void markTrial() {
        mTrial = true;
    }

    boolean isTrial() {
        return mTrial;
    }

    static int compareByDeadline(Ticket<?> left, Ticket<?> right) {
        long difference = left.mDeadlineNanos - right.mDeadlineNanos;
        return difference != 0
                ? Long.signum(difference)
                : Long.compare(left.mSequence, right.mSequence);
    }
}

package org.arbutuslock.internal.admission;

import java.util.TreeSet;

/** Queued requests of one tenant at one priority, earliest deadline first. */
final class TenantQueue<T> {
    private final TreeSet<Ticket<T>> mTickets = new TreeSet<>(Ticket::compareByDeadline);
    private final String mTenant;
    private final int mWeight;
    private double mStartTag;

    TenantQueue(String tenant, int weight, double startTag) {
        mTenant = tenant;
        mWeight = weight;
        mStartTag = startTag;
    }

    void add(Ticket<T> ticket) {
        mTickets.add(ticket);
    }

    boolean remove(Ticket<T> ticket) {
        return mTickets.remove(ticket);
    }

    Ticket<T> pollFirst() {
        mStartTag += 1.0 / mWeight;
        return mTickets.pollFirst();
    }

    /** Returns the ticket with the latest deadline that may still be displaced, or null. */
    Ticket<T> lastUncommitted() {
        for (Ticket<T> ticket : mTickets.descendingSet()) {
            if (!ticket.isCommitted()) {
                return ticket;
            }
        }
        return null;
    }

    int countBefore(Ticket<T> ticket) {
        return mTickets.headSet(ticket).size();
    }

    int size() {
        return mTickets.size();
    }

    int weight() {
        return mWeight;
    }

    /** Returns the number of queued requests divided by the tenant's weight. */
    double weightedSize() {
        return (double) mTickets.size() / mWeight;
    }

    String tenant() {
        return mTenant;
    }

    double startTag() {
        return mStartTag;
    }

    static int compareByStartTag(TenantQueue<?> left, TenantQueue<?> right) {
        int byTag = Double.compare(left.mStartTag, right.mStartTag);
        return byTag != 0 ? byTag : left.mTenant.compareTo(right.mTenant);
    }
}

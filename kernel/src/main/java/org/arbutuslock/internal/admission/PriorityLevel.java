package org.arbutuslock.internal.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Queued requests of one priority. Start-time fair queueing shares the slots between tenants. */
final class PriorityLevel<T> {
    private final Map<String, TenantQueue<T>> mByTenant = new HashMap<>();
    private final TreeSet<TenantQueue<T>> mByStartTag =
            new TreeSet<>(TenantQueue::compareByStartTag);
    private double mVirtualTime;
    private int mSize;
    private int mTotalWeight;

    void add(Ticket<T> ticket) {
        TenantQueue<T> queue = mByTenant.get(ticket.tenant());
        if (queue == null) {
            queue = new TenantQueue<>(ticket.tenant(), ticket.tenantWeight(), mVirtualTime);
            mByTenant.put(ticket.tenant(), queue);
            mByStartTag.add(queue);
            mTotalWeight += queue.weight();
        }
        queue.add(ticket);
        mSize++;
    }

    boolean remove(Ticket<T> ticket) {
        TenantQueue<T> queue = mByTenant.get(ticket.tenant());
        if (queue == null || !queue.remove(ticket)) {
            return false;
        }
        mSize--;
        if (queue.size() == 0) {
            mByStartTag.remove(queue);
            removeTenant(queue);
        }
        return true;
    }

    Ticket<T> poll() {
        TenantQueue<T> queue = mByStartTag.pollFirst();
        mVirtualTime = queue.startTag();
        Ticket<T> ticket = queue.pollFirst();
        mSize--;
        if (queue.size() == 0) {
            removeTenant(queue);
        } else {
            mByStartTag.add(queue);
        }
        return ticket;
    }

    private void removeTenant(TenantQueue<T> queue) {
        mByTenant.remove(queue.tenant());
        mTotalWeight -= queue.weight();
    }

    /** Estimates how many requests of this priority are dispatched before the ticket. */
    int countAhead(Ticket<T> ticket) {
        TenantQueue<T> queue = mByTenant.get(ticket.tenant());
        if (queue == null) {
            return Math.min(mSize, mByTenant.size());
        }
        double rounds = (double) queue.countBefore(ticket) / queue.weight();
        return (int) Math.min(mSize, Math.ceil(rounds * mTotalWeight));
    }

    /** Returns the tenant with the most queued requests relative to its weight, or null. */
    TenantQueue<T> largestTenant() {
        TenantQueue<T> largest = null;
        for (TenantQueue<T> queue : mByStartTag) {
            if (largest == null || queue.weightedSize() > largest.weightedSize()) {
                largest = queue;
            }
        }
        return largest;
    }

    /** Returns the tenant's queued requests, and this one, divided by the tenant's weight. */
    double weightedSizeWith(Ticket<T> ticket) {
        TenantQueue<T> queue = mByTenant.get(ticket.tenant());
        int size = queue == null ? 0 : queue.size();
        return (size + 1.0) / ticket.tenantWeight();
    }

    int size() {
        return mSize;
    }
}

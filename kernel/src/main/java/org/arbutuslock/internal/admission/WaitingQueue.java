package org.arbutuslock.internal.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Queued requests of one work class: highest priority first, then weighted fair between tenants.
 */
final class WaitingQueue<T> {
    private final List<PriorityLevel<T>> mLevels = new ArrayList<>();
    private int mSize;

    WaitingQueue() {
        for (int priority = 0; priority <= Ticket.MAXIMUM_PRIORITY; priority++) {
            mLevels.add(new PriorityLevel<>());
        }
    }

    void add(Ticket<T> ticket) {
        mLevels.get(ticket.priority()).add(ticket);
        mSize++;
    }

    boolean remove(Ticket<T> ticket) {
        boolean removed = mLevels.get(ticket.priority()).remove(ticket);
        if (removed) {
            mSize--;
        }
        return removed;
    }

    /** Removes and returns the next request. The queue must not be empty. */
    Ticket<T> poll() {
        mSize--;
        return mLevels.get(highestPriority()).poll();
    }

    /** Returns the priority of the next request, or -1 when the queue is empty. */
    int highestPriority() {
        int priority = Ticket.MAXIMUM_PRIORITY;
        while (priority >= 0 && mLevels.get(priority).size() == 0) {
            priority--;
        }
        return priority;
    }

    int countAhead(Ticket<T> ticket) {
        int ahead = mLevels.get(ticket.priority()).countAhead(ticket);
        for (int priority = ticket.priority() + 1;
                priority <= Ticket.MAXIMUM_PRIORITY;
                priority++) {
            ahead += mLevels.get(priority).size();
        }
        return ahead;
    }

    /** Returns the queued request that is displaced by the new one, or null when there is none. */
    Ticket<T> findDisplaced(Ticket<T> newcomer) {
        for (int priority = 0; priority <= newcomer.priority(); priority++) {
            PriorityLevel<T> level = mLevels.get(priority);
            TenantQueue<T> largest = level.largestTenant();
            boolean yields =
                    largest != null
                            && (priority < newcomer.priority()
                                    || largest.weightedSize() > level.weightedSizeWith(newcomer));
            Ticket<T> candidate = yields ? largest.lastUncommitted() : null;
            if (candidate != null) {
                return candidate;
            }
        }
        return null;
    }

    int size() {
        return mSize;
    }
}

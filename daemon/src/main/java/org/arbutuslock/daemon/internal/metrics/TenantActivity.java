package org.arbutuslock.daemon.internal.metrics;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.arbutuslock.internal.metrics.SpaceSavingCounter;

/**
 * Finds the most active tenants of this node. Counts are striped by thread to reduce lock
 * contention.
 */
final class TenantActivity {
    private static final int STRIPES = 16;
    private static final int COUNTERS_PER_STRIPE = 256;
    private static final int MAXIMUM_NAME_CHARACTERS = 63;

    /**
     * Factor on the count of a listed tenant. It keeps tenants of about equal activity from
     * replacing each other at every selection.
     */
    private static final double LISTED_TENANT_FACTOR = 1.25;

    private final List<Stripe> mStripes = new ArrayList<>();

    private static final class Stripe {
        private final ReentrantLock mLock = new ReentrantLock();
        private final SpaceSavingCounter mCounter = new SpaceSavingCounter(COUNTERS_PER_STRIPE);
    }

    TenantActivity() {
        for (int index = 0; index < STRIPES; index++) {
            mStripes.add(new Stripe());
        }
    }

    /**
     * Returns whether a text is a valid name of a tenant. Must be checked because the text comes
     * from a request header, which can hold anything.
     */
    static boolean isValidName(String tenant) {
        if (tenant.isEmpty() || tenant.length() > MAXIMUM_NAME_CHARACTERS) {
            return false;
        }
        for (int index = 0; index < tenant.length(); index++) {
            char character = tenant.charAt(index);
            boolean letter =
                    character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
            boolean digit = character >= '0' && character <= '9';
            if (!letter && !digit && character != '-') {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts a request, or skips it when another thread holds the lock of the stripe. Thread-safe.
     */
    void record(String tenant) {
        Stripe stripe = mStripes.get((int) (Thread.currentThread().threadId() % STRIPES));
        if (stripe.mLock.tryLock()) {
            try {
                stripe.mCounter.offer(tenant);
            } finally {
                stripe.mLock.unlock();
            }
        }
    }

    /**
     * Returns the most active tenants.
     *
     * @param listed tenants of the last selection, which are preferred to about equally active ones
     * @param limit largest number of tenants
     */
    Set<String> selectMostActive(Set<String> listed, int limit) {
        Map<String, Double> scores = new HashMap<>();
        for (Stripe stripe : mStripes) {
            stripe.mLock.lock();
            try {
                stripe.mCounter.forEach(
                        (tenant, count) -> scores.merge(tenant, (double) count, Double::sum));
            } finally {
                stripe.mLock.unlock();
            }
        }
        listed.forEach(
                tenant -> scores.computeIfPresent(tenant, (key, s) -> s * LISTED_TENANT_FACTOR));
        List<String> ranked = new ArrayList<>(scores.keySet());
        ranked.sort((first, second) -> Double.compare(scores.get(second), scores.get(first)));
        return new HashSet<>(ranked.subList(0, Math.min(limit, ranked.size())));
    }

    /** Halves all counts, so that the weight of past requests decays. */
    void halve() {
        for (Stripe stripe : mStripes) {
            stripe.mLock.lock();
            try {
                stripe.mCounter.halve();
            } finally {
                stripe.mLock.unlock();
            }
        }
    }
}

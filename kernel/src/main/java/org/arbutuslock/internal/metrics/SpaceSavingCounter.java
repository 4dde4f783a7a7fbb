package org.arbutuslock.internal.metrics;

import org.agrona.collections.Object2IntHashMap;

/**
 * Finds the most frequent keys of a stream in constant memory, as in Metwally, Agrawal and El
 * Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams" (ICDT 2005). A key
 * that is not counted yet takes over the counter with the lowest count. Every key that occurs more
 * often than the number of offers divided by the capacity has a counter; a count is never too low,
 * and too high by at most that quotient. Not thread-safe.
 *
 * <pre>{@code
 * counter.offer(tenant);
 * counter.forEach((key, count) -> ...);
 * }</pre>
 */
public final class SpaceSavingCounter {
    private static final int MISSING = -1;

    private final String[] mKeys;
    private final long[] mCounts;
    private final Object2IntHashMap<String> mPositions = new Object2IntHashMap<>(MISSING);
    private int mSize;

    /** Receives the counters of {@link #forEach}. */
    @FunctionalInterface
    public interface Consumer {
        /**
         * Receives one counter.
         *
         * @param key key that is counted
         * @param count upper bound of the number of occurrences of the key
         */
        void accept(String key, long count);
    }

    /**
     * Creates a counter without keys.
     *
     * @param capacity maximum number of keys counted at the same time, at least 1
     */
    public SpaceSavingCounter(int capacity) {
        mKeys = new String[capacity];
        mCounts = new long[capacity];
    }

    /**
     * Counts an occurrence of a key, in time logarithmic in the capacity.
     *
     * @param key key to count
     */
    public void offer(String key) {
        int position = mPositions.getValue(key);
        if (position == MISSING) {
            position = assignCounter(key);
        }
        mCounts[position]++;
        siftDown(position);
    }

    /** Assigns a counter to a new key: an unused one, else the lowest, which is the heap's root. */
    private int assignCounter(String key) {
        if (mSize < mKeys.length) {
            int position = mSize++;
            place(position, key, 0);
            return siftUp(position);
        }
        mPositions.removeKey(mKeys[0]);
        place(0, key, mCounts[0]);
        return 0;
    }

    /**
     * Visits all counters in no particular order.
     *
     * @param consumer receives each key and its count
     */
    public void forEach(Consumer consumer) {
        for (int position = 0; position < mSize; position++) {
            consumer.accept(mKeys[position], mCounts[position]);
        }
    }

    /** Halves all counts, rounding down, so that older occurrences count less than newer ones. */
    public void halve() {
        for (int position = 0; position < mSize; position++) {
            mCounts[position] /= 2;
        }
    }

    private int siftUp(int start) {
        int position = start;
        while (position > 0 && mCounts[position] < mCounts[(position - 1) / 2]) {
            swap(position, (position - 1) / 2);
            position = (position - 1) / 2;
        }
        return position;
    }

    private void siftDown(int start) {
        int position = start;
        while (true) {
            int child = lowestChild(position);
            if (child >= mSize || mCounts[position] <= mCounts[child]) {
                return;
            }
            swap(position, child);
            position = child;
        }
    }

    private int lowestChild(int position) {
        int left = 2 * position + 1;
        int right = left + 1;
        return right < mSize && mCounts[right] < mCounts[left] ? right : left;
    }

    private void swap(int first, int second) {
        String key = mKeys[first];
        long count = mCounts[first];
        place(first, mKeys[second], mCounts[second]);
        place(second, key, count);
    }

    private void place(int position, String key, long count) {
        mKeys[position] = key;
        mCounts[position] = count;
        mPositions.put(key, position);
    }
}

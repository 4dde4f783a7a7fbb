package org.arbutuslock.internal.execution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;

/**
 * Runs one concurrent history with an entry node, a network that duplicates and delays submissions,
 * and two home nodes that restart. Counts the violations: requests that were dispatched more than
 * once, and dispatched requests that were reported as not run.
 */
final class LedgerHistory {
    private static final int REQUESTS = 8;
    private static final int LATE_COPY_THREADS = 2;

    private record Submit(ExecutionLedger ledger, long session, RequestId id) {}

    private record NodeRequest(ExecutionLedger ledger, RequestId id) {}

    private final ManualClock mClock = new ManualClock();
    private final boolean mFencing;
    private final SplittableRandom mRandom;
    private final List<ExecutionLedger> mNodes = new ArrayList<>();
    private final long[] mIncarnations = {1, 1};
    private final Queue<Submit> mLateCopies = new ConcurrentLinkedQueue<>();
    private final ConcurrentHashMap<RequestId, AtomicInteger> mDispatches =
            new ConcurrentHashMap<>();
    private final ConcurrentHashMap<NodeRequest, Boolean> mDispatchedAt = new ConcurrentHashMap<>();
    private final Queue<NodeRequest> mReportedNotRun = new ConcurrentLinkedQueue<>();

    LedgerHistory(long seed, boolean fencing) {
        mRandom = new SplittableRandom(seed);
        mFencing = fencing;
        mNodes.add(createLedger(1));
        mNodes.add(createLedger(1));
    }

    private ExecutionLedger createLedger(long incarnation) {
        LedgerLimits limits = new LedgerLimits(Duration.ofSeconds(1), 100, 500, 6, 10);
        return new ExecutionLedger(mClock, incarnation, limits, mFencing);
    }

    int run(ExecutorService threads) throws Exception {
        CountDownLatch start = new CountDownLatch(1);
        List<Future<?>> running = new ArrayList<>();
        AtomicInteger open = new AtomicInteger(1);
        for (int thread = 0; thread < LATE_COPY_THREADS; thread++) {
            SplittableRandom random = mRandom.split();
            running.add(threads.submit(() -> deliverLateCopies(start, open, random)));
        }
        SplittableRandom entryRandom = mRandom.split();
        running.add(threads.submit(() -> runEntryNode(start, open, entryRandom)));
        start.countDown();
        for (Future<?> thread : running) {
            thread.get();
        }
        return countViolations();
    }

    private Void runEntryNode(CountDownLatch start, AtomicInteger open, SplittableRandom random)
            throws InterruptedException {
        start.await();
        for (int sequence = 0; sequence < REQUESTS; sequence++) {
            RequestId id = new RequestId("entry", 1, sequence);
            int node = random.nextInt(2);
            if (submitAndQuery(id, node, random)) {
                submitAndQuery(id, 1 - node, random);
            }
            injectRandomEvent(random);
        }
        open.set(0);
        return null;
    }

    /** Returns true when the node reported that the request has not run. */
    private boolean submitAndQuery(RequestId id, int node, SplittableRandom random) {
        ExecutionLedger ledger = mNodes.get(node);
        long incarnation = mIncarnations[node];
        Submit submit = new Submit(ledger, ledger.openSession(), id);
        for (int copies = random.nextInt(3); copies > 0; copies--) {
            mLateCopies.add(submit);
        }
        if (random.nextBoolean()) {
            deliver(submit, random);
        }
        if (random.nextInt(8) == 0) {
            restart(node);
        }
        spin(random.nextInt(200));
        QueryResult result = mNodes.get(node).query(id, incarnation, submit.session());
        if (result instanceof QueryResult.NotRun) {
            mReportedNotRun.add(new NodeRequest(ledger, id));
            return true;
        }
        return false;
    }

    private void restart(int node) {
        mIncarnations[node]++;
        mNodes.set(node, createLedger(mIncarnations[node]));
    }

    private void injectRandomEvent(SplittableRandom random) {
        ExecutionLedger ledger = mNodes.get(random.nextInt(2));
        switch (random.nextInt(4)) {
            case 0 -> ledger.acknowledge(new RequestId("entry", 1, random.nextInt(REQUESTS)));
            case 1 -> mClock.advance(Duration.ofMillis(700));
            case 2 -> ledger.expire();
            default -> ledger.fenceSession(1 + random.nextInt(REQUESTS));
        }
    }

    private Void deliverLateCopies(
            CountDownLatch start, AtomicInteger open, SplittableRandom random)
            throws InterruptedException {
        start.await();
        while (open.get() > 0 || !mLateCopies.isEmpty()) {
            spin(random.nextInt(400));
            Submit submit = mLateCopies.poll();
            if (submit == null) {
                continue;
            }
            if (random.nextInt(4) == 0) {
                // The event loop detects the end of the connection while other threads use the
                // session.
                submit.ledger().fenceSession(submit.session());
            }
            deliver(submit, random);
        }
        return null;
    }

    private void deliver(Submit submit, SplittableRandom random) {
        AdmitResult result = submit.ledger().admit(submit.session(), submit.id());
        if (result instanceof AdmitResult.Admitted(ExecutionRecord record)) {
            spin(random.nextInt(100));
            execute(submit, record, random);
        }
    }

    private void execute(Submit submit, ExecutionRecord record, SplittableRandom random) {
        if (random.nextInt(4) == 0) {
            record.refuse(RefusalReason.QUEUE_FULL);
        }
        if (!record.markDispatched()) {
            return;
        }
        mDispatchedAt.put(new NodeRequest(submit.ledger(), submit.id()), true);
        mDispatches.computeIfAbsent(submit.id(), id -> new AtomicInteger()).incrementAndGet();
        spin(random.nextInt(100));
        switch (random.nextInt(3)) {
            case 0 -> record.fail();
            case 1 -> record.complete();
            default -> record.complete(() -> 50);
        }
    }

    private static void spin(int turns) {
        for (int turn = 0; turn < turns; turn++) {
            Thread.onSpinWait();
        }
    }

    private int countViolations() {
        long dispatchedAgain =
                mDispatches.values().stream().filter(count -> count.get() > 1).count();
        long falseReports = mReportedNotRun.stream().filter(mDispatchedAt::containsKey).count();
        return (int) (dispatchedAgain + falseReports);
    }

    int notRunReports() {
        return mReportedNotRun.size();
    }
}

package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.testng.annotations.Test;

/**
 * Guards against responses in another order than their requests, an order that starts while an
 * earlier request is in progress, requests that start behind a closed connection, and memory that
 * grows with the number of requests that a caller sends ahead.
 */
public class RequestPipelineTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);
    private static final int RUNS = 3_000;
    private static final int STEPS = 60;
    private static final int MAXIMUM_IN_PROGRESS = 4;
    private static final int MAXIMUM_HELD_BYTES = 500;
    private static final int MAXIMUM_OVERTAKING = 2;
    private static final int PART_BYTES = 100;

    private final List<SimulatedRequest> mAll = new ArrayList<>();
    private final List<SimulatedRequest> mFinished = new ArrayList<>();
    private HeldBytes mHeldBytes;
    private OvertakingLimit mOvertakingLimit;
    private RequestPipeline<SimulatedRequest> mPipeline;
    private boolean mClosed;

    @Test
    public void should_keep_the_order_and_the_bounds_whatever_happens() {
        System.out.println("RequestPipelineTest arbutuslock.seed=" + SEED);
        for (int run = 0; run < RUNS; run++) {
            Random random = new Random(SEED + run);
            startRun();
            if (run % 2 == 0) {
                startRun(new OvertakingLimit(MAXIMUM_OVERTAKING));
            }
            for (int step = 0; step < STEPS; step++) {
                doStep(random);
                checkBounds();
            }
            answerAll();
            checkEnds(SEED + run);
        }
    }

    @Test
    public void should_start_followers_while_the_first_request_hangs() {
        startRun();
        for (int request = 0; request < 4; request++) {
            add(true);
        }
        for (SimulatedRequest request : mAll) {
            assertTrue(request.mStarted);
        }
        mAll.get(1).mWriter.sendComplete(response());
        assertTrue(mFinished.isEmpty(), "the response waits for its turn");
        mAll.get(0).mWriter.sendComplete(response());
        assertEquals(mFinished, mAll.subList(0, 2));
    }

    /** Guards against memory that grows with the connections whose callers send ahead. */
    @Test
    public void should_start_followers_within_the_limit_of_all_connections() {
        startRun();
        startRun(new OvertakingLimit(MAXIMUM_OVERTAKING));
        mOvertakingLimit.tryAcquire();
        for (int request = 0; request < 4; request++) {
            add(true);
        }
        List<Boolean> started = mAll.stream().map(request -> request.mStarted).toList();
        assertEquals(started, List.of(true, true, false, false));
        mAll.get(0).mWriter.sendComplete(response());
        assertTrue(mAll.get(2).mStarted, "the second request has its turn");
        assertFalse(mAll.get(3).mStarted);
        mPipeline.close();
        assertEquals(mOvertakingLimit.used(), 1, "the one of another connection");
    }

    @Test
    public void should_start_an_order_alone() {
        startRun();
        add(true);
        add(false);
        add(true);
        assertFalse(mAll.get(1).mStarted);
        mAll.get(0).mWriter.sendComplete(response());
        assertTrue(mAll.get(1).mStarted);
        assertFalse(mAll.get(2).mStarted);
        mAll.get(1).mWriter.sendComplete(response());
        assertTrue(mAll.get(2).mStarted);
    }

    @Test
    public void should_stop_reading_at_the_bound_of_waiting_requests() {
        startRun();
        add(false);
        for (int request = 0; request < 8; request++) {
            assertTrue(mPipeline.canRead());
            add(true);
        }
        assertFalse(mPipeline.canRead());
        mAll.get(0).mWriter.sendComplete(response());
        assertTrue(mPipeline.canRead());
    }

    @Test
    public void should_hold_no_more_of_a_response_than_its_bound() {
        startRun();
        add(true);
        add(true);
        SimulatedRequest second = mAll.get(1);
        second.mWriter.start(200, List.of());
        int parts = 0;
        while (second.mReads == parts) {
            second.mWriter.sendPart(new byte[PART_BYTES], false, second::readMore);
            parts++;
        }
        assertEquals(parts, MAXIMUM_HELD_BYTES / PART_BYTES);
        mAll.get(0).mWriter.sendComplete(response());
        assertEquals(second.mReads, parts, "reading goes on with the turn");
        assertEquals(mHeldBytes.bytes(), 0);
    }

    private void startRun() {
        mAll.clear();
        mFinished.clear();
        mClosed = false;
        mHeldBytes = new HeldBytes(MAXIMUM_HELD_BYTES);
        startRun(new OvertakingLimit(MAXIMUM_IN_PROGRESS));
    }

    private void startRun(OvertakingLimit overtakingLimit) {
        mOvertakingLimit = overtakingLimit;
        mPipeline =
                new RequestPipeline<>(MAXIMUM_IN_PROGRESS, 8, 10_000, mHeldBytes, mOvertakingLimit);
    }

    private void add(boolean repeatable) {
        SimulatedRequest request = new SimulatedRequest(repeatable);
        mAll.add(request);
        mPipeline.add(request);
    }

    private void doStep(Random random) {
        int choice = random.nextInt(100);
        if (choice < 35) {
            if (mPipeline.canRead()) {
                add(random.nextInt(4) > 0);
            }
        } else if (choice < 36) {
            mPipeline.rejectFurther();
        } else if (choice < 37) {
            mClosed = true;
            mPipeline.close();
        } else {
            List<SimulatedRequest> open = mPipeline.started();
            if (!open.isEmpty()) {
                open.get(random.nextInt(open.size())).progress(random);
            }
        }
    }

    private void answerAll() {
        while (!mPipeline.isEmpty()) {
            List<SimulatedRequest> unanswered =
                    mPipeline.started().stream().filter(request -> !request.mAnswered).toList();
            assertFalse(unanswered.isEmpty(), "nothing is in progress, but requests remain");
            unanswered.getLast().answer();
        }
    }

    private void checkBounds() {
        long inProgress = mPipeline.started().size();
        assertTrue(inProgress <= MAXIMUM_IN_PROGRESS, inProgress + " in progress");
        long bound = MAXIMUM_HELD_BYTES + (long) MAXIMUM_IN_PROGRESS * PART_BYTES;
        assertTrue(mHeldBytes.bytes() <= bound, mHeldBytes.bytes() + " bytes held");
    }

    private void checkEnds(long seed) {
        String run = "seed " + seed;
        assertEquals(mHeldBytes.bytes(), 0, run);
        assertEquals(mOvertakingLimit.used(), 0, run);
        List<SimulatedRequest> expected = mAll.subList(0, mFinished.size());
        assertEquals(mFinished, expected, run);
        for (SimulatedRequest request : mAll) {
            assertEquals(request.mEnds, 1, run);
        }
    }

    private static BufferedResponse response() {
        return new BufferedResponse(200, List.of(), new byte[PART_BYTES]);
    }

    /** A request whose response the test sends step by step. */
    private final class SimulatedRequest implements RequestPipeline.Request, ResponseWriter {
        private final boolean mRepeatable;
        private final OrderedResponseWriter mWriter;
        private boolean mStarted;
        private boolean mAnswered;
        private boolean mStreaming;
        private boolean mHasTurn;
        private int mReads;
        private int mWanted;
        private int mEnds;

        private SimulatedRequest(boolean repeatable) {
            mRepeatable = repeatable;
            mWriter =
                    new OrderedResponseWriter(this, mHeldBytes, () -> mPipeline.closeBehind(this));
        }

        private void readMore() {
            mReads++;
        }

        private void progress(Random random) {
            if (mAnswered) {
                return;
            }
            if (!mStreaming) {
                if (random.nextBoolean()) {
                    answer();
                } else {
                    mStreaming = true;
                    mWriter.start(200, List.of());
                }
            } else if (random.nextInt(20) == 0) {
                mAnswered = true;
                mWriter.abort();
            } else if (mReads == mWanted) {
                mWanted++;
                mWriter.sendPart(new byte[PART_BYTES], false, this::readMore);
            } else if (random.nextInt(3) == 0) {
                answer();
            }
        }

        private void answer() {
            mAnswered = true;
            if (mStreaming) {
                mWriter.sendPart(new byte[0], true, () -> {});
            } else {
                mWriter.sendComplete(response());
            }
        }

        @Override
        public boolean isRepeatable() {
            return mRepeatable;
        }

        @Override
        public long bytes() {
            return PART_BYTES;
        }

        @Override
        public void start() {
            assertFalse(mStarted);
            assertFalse(mClosed, "started behind the end of the connection");
            mStarted = true;
            for (SimulatedRequest earlier : mAll.subList(0, mAll.indexOf(this))) {
                if (!mRepeatable || !earlier.mRepeatable) {
                    assertEquals(earlier.mEnds, 1, "an order overlaps with another request");
                }
            }
        }

        @Override
        public void takeTurn() {
            assertEquals(mFinished.size(), mAll.indexOf(this));
            mHasTurn = true;
            mWriter.takeTurn();
        }

        @Override
        public void cancel() {
            assertTrue(mStarted);
            mEnds++;
            mWriter.discard();
        }

        @Override
        public void discard() {
            assertFalse(mStarted);
            mEnds++;
        }

        @Override
        public void sendComplete(BufferedResponse response) {
            finish();
        }

        @Override
        public void start(int status, List<HeaderField> headers) {
            assertTrue(mHasTurn);
        }

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {
            assertTrue(mHasTurn);
            if (last) {
                finish();
            } else {
                sent.run();
            }
        }

        @Override
        public void abort() {
            assertTrue(mHasTurn);
            mClosed = true;
            mPipeline.close();
        }

        private void finish() {
            assertTrue(mHasTurn);
            mEnds++;
            mFinished.add(this);
            mPipeline.finish(this);
        }
    }
}

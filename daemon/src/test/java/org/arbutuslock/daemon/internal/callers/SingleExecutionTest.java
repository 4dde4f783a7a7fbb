package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.annotations.Test;

/**
 * Guards against a response that is put together from several executions of a request. Executions
 * overlap and break off in a random order; their bodies differ anywhere or not at all, and their
 * heads may not tell them apart.
 */
public class SingleExecutionTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20261206);
    private static final int REQUESTS = 3_000;
    private static final int MAXIMUM_EVENTS = 400;
    private static final int MAXIMUM_BODY_BYTES = 200_000;
    private static final int MAXIMUM_PART_BYTES = 30_000;
    private static final String EXECUTION = "x-execution";
    private static final List<String> VALIDATORS = List.of("", "\"1\"", "W/\"1\"", "\"2\"");
    private static final int[] STATUSES = {200, 200, 200, 200, 206, 500, 503};

    @Test
    public void should_send_the_body_of_one_execution_or_break_off() {
        int started = 0;
        int brokenOff = 0;
        for (int number = 0; number < REQUESTS; number++) {
            Recorder recorder = play(new Random(SEED + number));
            assertEquals(recorder.mFault, "", "seed " + (SEED + number));
            assertTrue(recorder.mEnded, "seed " + (SEED + number));
            started += recorder.mStarted.isPresent() ? 1 : 0;
            brokenOff += recorder.mAborted ? 1 : 0;
        }
        assertTrue(started > REQUESTS / 5, started + " responses were sent in parts");
        assertTrue(brokenOff > REQUESTS / 20, brokenOff + " responses broke off");
    }

    private static Recorder play(Random random) {
        List<Execution> executions = new ArrayList<>();
        Recorder recorder = new Recorder(executions);
        ManualAttempts attempts = new ManualAttempts();
        byte[] body = new byte[1 + random.nextInt(MAXIMUM_BODY_BYTES)];
        random.nextBytes(body);
        attempts.start(random.nextInt(4) > 0, recorder);
        for (int event = 0; event < MAXIMUM_EVENTS && !recorder.mEnded; event++) {
            while (executions.size() < attempts.count()) {
                executions.add(Execution.draw(executions.size(), body, random));
            }
            attempts.setOutcome(drawOutcome(executions.getFirst(), random));
            int attempt = random.nextInt(executions.size());
            Execution execution = executions.get(attempt);
            if (random.nextInt(20) == 0) {
                attempts.advance(1 + random.nextInt(ManualAttempts.OBJECTIVE_MILLIS));
            } else if (!execution.mEnded) {
                execution.sendNext(attempt, attempts, random);
            }
        }
        attempts.advance(2 * ManualAttempts.DEADLINE_MILLIS);
        return recorder;
    }

    private static OutcomeReport drawOutcome(Execution execution, Random random) {
        OutcomeState[] states = {
            OutcomeState.ANSWERED,
            OutcomeState.ANSWERED_NOT_KEPT,
            OutcomeState.IN_PROGRESS,
            OutcomeState.FAILED
        };
        OutcomeState state = states[random.nextInt(states.length)];
        Optional<BufferedResponse> response =
                state == OutcomeState.ANSWERED
                        ? Optional.of(
                                new BufferedResponse(
                                        execution.mStatus, execution.mHeaders, execution.mBody))
                        : Optional.empty();
        return new OutcomeReport(state, response);
    }

    /** One execution at a backend server, with the events that its home node sends. */
    private static final class Execution {
        private final int mStatus;
        private final List<HeaderField> mHeaders;
        private final byte[] mBody;
        private boolean mHeadSent;
        private int mSentBytes;
        private boolean mEnded;

        private Execution(int status, List<HeaderField> headers, byte[] body) {
            mStatus = status;
            mHeaders = headers;
            mBody = body;
        }

        private static Execution draw(int number, byte[] common, Random random) {
            byte[] body = common.clone();
            if (random.nextInt(4) > 0) {
                int fromEnd = random.nextBoolean() ? random.nextInt(Math.min(64, body.length)) : 0;
                int position = fromEnd > 0 ? body.length - fromEnd : random.nextInt(body.length);
                body[position] ^= 1;
            }
            List<HeaderField> headers = new ArrayList<>();
            headers.add(new HeaderField(EXECUTION, Integer.toString(number)));
            if (random.nextInt(10) > 0) {
                headers.add(new HeaderField("Content-Length", Integer.toString(body.length)));
            }
            for (int field = random.nextInt(3); field > 0; field--) {
                String validator = VALIDATORS.get(random.nextInt(VALIDATORS.size()));
                headers.add(new HeaderField(random.nextBoolean() ? "ETag" : "etag", validator));
            }
            return new Execution(STATUSES[random.nextInt(STATUSES.length)], headers, body);
        }

        private void sendNext(int attempt, ManualAttempts attempts, Random random) {
            if (random.nextInt(15) == 0) {
                mEnded = true;
                attempts.send(attempt, drawBreak(random));
            } else if (!mHeadSent || random.nextInt(20) == 0) {
                mHeadSent = true;
                attempts.send(
                        attempt, new ResponseEvent.Head(mStatus, mHeaders, LoadReport.UNKNOWN));
            } else {
                int end = mSentBytes + random.nextInt(MAXIMUM_PART_BYTES);
                byte[] part = Arrays.copyOfRange(mBody, mSentBytes, Math.min(end, mBody.length));
                mSentBytes += part.length;
                mEnded = mSentBytes == mBody.length;
                attempts.send(attempt, new ResponseEvent.Body(part, mEnded));
            }
        }

        private static ResponseEvent drawBreak(Random random) {
            return switch (random.nextInt(3)) {
                case 0 -> new ResponseEvent.OutcomeUnknown("cut", LoadReport.UNKNOWN);
                case 1 -> new ResponseEvent.SessionLost(ManualAttempts.SUBMISSION, "lost");
                default ->
                        new ResponseEvent.Refused(
                                RefusalReason.NOT_TRANSMITTED, "unreadable", LoadReport.UNKNOWN);
            };
        }
    }

    /** Records what is written to the caller, and the first write that must not happen. */
    private static final class Recorder implements ResponseWriter {
        private final List<Execution> mExecutions;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private Optional<Execution> mStarted = Optional.empty();
        private boolean mAborted;
        private boolean mEnded;
        private String mFault = "";

        private Recorder(List<Execution> executions) {
            mExecutions = executions;
        }

        /** Records a fault; an exception would end in the event loop. */
        private void require(boolean condition, String fault) {
            if (!condition && mFault.isEmpty()) {
                mFault = fault;
            }
        }

        private void requireStart() {
            require(!mEnded && mStarted.isEmpty(), "a second head follows");
        }

        private Execution find(int status, List<HeaderField> headers) {
            int number = Integer.parseInt(HeaderField.find(headers, EXECUTION));
            Execution execution = mExecutions.get(number);
            require(
                    status == execution.mStatus && headers.equals(execution.mHeaders),
                    "the head is not that of execution " + number);
            return execution;
        }

        @Override
        public void sendComplete(BufferedResponse response) {
            requireStart();
            mEnded = true;
            if (HeaderField.find(response.headers(), EXECUTION) != null) {
                Execution execution = find(response.status(), response.headers());
                require(Arrays.equals(response.body(), execution.mBody), "the body is another one");
            }
        }

        @Override
        public void start(int status, List<HeaderField> headers) {
            requireStart();
            mStarted = Optional.of(find(status, headers));
        }

        @Override
        public void sendPart(byte[] data, boolean last, Runnable sent) {
            require(!mEnded, "a part follows the end");
            mBody.writeBytes(data);
            byte[] whole = mStarted.orElseThrow().mBody;
            int sentBytes = mBody.size();
            require(
                    sentBytes <= whole.length
                            && Arrays.equals(mBody.toByteArray(), Arrays.copyOf(whole, sentBytes)),
                    "the body is that of another execution");
            require(!last || sentBytes == whole.length, "the body is not whole");
            mEnded |= last;
            if (!last) {
                sent.run();
            }
        }

        @Override
        public void abort() {
            require(!mEnded, "a break follows the end");
            mAborted = true;
            mEnded = true;
        }
    }
}

package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.detection.HealthAssessment;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.HealthDigest;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * One run of one group of simulated servers with one health detector per server and both baseline
 * rules. Rule 0 is the detector, rule 1 consecutive errors, rule 2 the latency outlier.
 */
final class DetectionRun {
    private static final int STEPS_PER_SECOND = 100;
    private static final int STEPS_PER_EVALUATION = 25;
    private static final int DIGEST_RECEIVERS = 5;
    private static final double LARGE_LOAD = 10;
    private static final double SHARED_SLOWNESS = 5;
    private static final double SHARED_ERRORS = 0.5;
    private static final double USUAL_ERRORS = 0.003;
    private static final double MANY_ERRORS = 0.02;
    private static final int ENTRY_NODES = 8;
    private static final Duration STEP = Duration.ofMillis(1_000 / STEPS_PER_SECOND);

    private final DetectionCase mCase;
    private final RandomGenerator mRandom;
    private final ManualClock mClock = new ManualClock();
    private final SimulatedServer[] mServers;
    private final HealthDetector[] mDetectors;
    private final EndpointId[] mIds;
    private final int[] mDigestPhase;
    private final ConsecutiveErrorsRule[] mErrorRules;
    private final LatencyOutlierRule mLatencyRule;
    private final DetectionResult[] mResults = {
        new DetectionResult(), new DetectionResult(), new DetectionResult()
    };
    private final long mFaultStep;
    private boolean mDisturbed;
    private double mPhaseEndSeconds;
    private long mStep;

    DetectionRun(DetectionCase benchCase, long seed) {
        mCase = benchCase;
        mRandom = new SplittableRandom(seed);
        int servers = benchCase.servers();
        mServers = new SimulatedServer[servers];
        mDetectors = new HealthDetector[servers];
        mIds = new EndpointId[servers];
        mDigestPhase = new int[servers];
        mErrorRules = new ConsecutiveErrorsRule[servers];
        mLatencyRule = new LatencyOutlierRule(servers);
        for (int server = 0; server < servers; server++) {
            mServers[server] = new SimulatedServer(benchCase, mRandom, mClock);
            mDetectors[server] = new HealthDetector(mClock);
            mIds[server] = new EndpointId("bench", "server-" + server);
            mDigestPhase[server] = mRandom.nextInt(STEPS_PER_SECOND);
            mErrorRules[server] = new ConsecutiveErrorsRule();
        }
        mFaultStep =
                STEPS_PER_SECOND * DetectionCase.WARM_UP_SECONDS
                        + mRandom.nextInt(STEPS_PER_SECOND);
    }

    /** Returns the results of the detector, the consecutive errors rule and the latency rule. */
    DetectionResult[] run() {
        boolean faulty = mCase.fault() != DetectionCase.Fault.NONE;
        long steps = (long) mCase.seconds() * STEPS_PER_SECOND;
        for (mStep = 0; mStep < steps; mStep++) {
            if (faulty && mStep == mFaultStep) {
                mServers[0].mFaulty = true;
            }
            step();
            if (faulty && mResults[0].isDetected() && mStep > mFaultStep + 60L * STEPS_PER_SECOND) {
                break;
            }
        }
        for (DetectionResult result : mResults) {
            result.addServerSeconds(mStep / STEPS_PER_SECOND * mCase.servers());
        }
        return mResults;
    }

    private void step() {
        mClock.advance(STEP);
        double nowNanos = mClock.nanoTime();
        changeCondition(nowNanos);
        boolean swing = mCase.noise() == DetectionCase.Noise.SWING;
        double load = swing && mDisturbed ? LARGE_LOAD : 1;
        GroupCondition condition = condition();
        for (int server = 0; server < mServers.length; server++) {
            int observed = server;
            mServers[server].step(
                    nowNanos,
                    load,
                    condition,
                    (trafficClass, serviceNanos, outcome) ->
                            observe(observed, trafficClass, serviceNanos, outcome));
            if ((mStep + mDigestPhase[server]) % STEPS_PER_SECOND == 0) {
                sendDigest(server);
            }
            if ((mStep + mDigestPhase[server]) % STEPS_PER_EVALUATION == 0) {
                evaluate(server, nowNanos);
            }
        }
        if (mStep % STEPS_PER_SECOND == 0) {
            evaluateLatencyRule();
        }
    }

    /**
     * Alternates between normal phases of 2 to 24 s and disturbed phases of 2 to 12 s, about three
     * disturbed phases a minute.
     */
    private void changeCondition(double nowNanos) {
        double nowSeconds = nowNanos / 1e9;
        if (nowSeconds < mPhaseEndSeconds) {
            return;
        }
        mDisturbed = !mDisturbed;
        mPhaseEndSeconds = nowSeconds + mRandom.nextDouble(2, mDisturbed ? 12 : 24);
        if (mCase.noise() == DetectionCase.Noise.SWING) {
            for (SimulatedServer server : mServers) {
                server.changeLoad(nowNanos, mDisturbed ? LARGE_LOAD : 1);
            }
        }
    }

    private GroupCondition condition() {
        return switch (mCase.noise()) {
            case SHARED_SLOWNESS ->
                    new GroupCondition(mDisturbed ? SHARED_SLOWNESS : 1, USUAL_ERRORS);
            case SHARED_ERRORS -> new GroupCondition(1, mDisturbed ? SHARED_ERRORS : USUAL_ERRORS);
            case ERRORS -> new GroupCondition(1, MANY_ERRORS);
            default -> new GroupCondition(1, USUAL_ERRORS);
        };
    }

    private void observe(
            int server, TrafficClass trafficClass, long serviceNanos, Outcome outcome) {
        mDetectors[server].observe(trafficClass, serviceNanos, outcome);
        if (mCase.noise() == DetectionCase.Noise.ENTRY_NODE
                && outcome == Outcome.OK
                && mRandom.nextInt(ENTRY_NODES) == 0) {
            mDetectors[server].observeEntryReport("entry-0", trafficClass);
        }
        if (mErrorRules[server].observe(outcome)) {
            record(1, server);
        }
        mLatencyRule.observe(server, trafficClass, serviceNanos, outcome);
    }

    private void sendDigest(int server) {
        HealthDigest digest = mDetectors[server].digest();
        // Consecutive positions after a random first one give five different receivers.
        int first = mRandom.nextInt(1, mServers.length);
        for (int count = 0; count < DIGEST_RECEIVERS; count++) {
            int offset = 1 + (first - 1 + count) % (mServers.length - 1);
            int receiver = (server + offset) % mServers.length;
            mDetectors[receiver].observeDigest(mIds[server], digest);
        }
    }

    private void evaluate(int server, double nowNanos) {
        if (mDetectors[server].tryAcquireProbe()) {
            mServers[server].probe(nowNanos);
            mResults[0].addProbe();
        }
        if (mDetectors[server].evaluate() instanceof HealthAssessment.Unhealthy) {
            record(0, server);
            mDetectors[server].reset();
        }
    }

    private void evaluateLatencyRule() {
        boolean[] ejected = mLatencyRule.endSecond();
        for (int server = 0; server < ejected.length; server++) {
            if (ejected[server]) {
                record(2, server);
            }
        }
    }

    private void record(int rule, int server) {
        if (mServers[server].mFaulty) {
            mResults[rule].recordDetection((mStep - mFaultStep) / (double) STEPS_PER_SECOND);
        } else {
            mResults[rule].addFalseEjection();
        }
    }
}

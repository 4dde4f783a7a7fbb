package org.arbutuslock.daemon.internal.operators;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.arbutuslock.internal.configuration.TaskTimer;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.operators.OperatorsMessageCodec;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.internal.operators.OperatorsRequest;

/**
 * Sends requests about backend servers to their home nodes on other hosts, and handles the requests
 * that other nodes send to this one.
 */
final class PeerEndpoints {
    /** Covers opening a session, sending the request and receiving the reply. */
    static final Duration REPLY_TIMEOUT = Duration.ofSeconds(2);

    /** Longer, since the home node replies to a drain only after up to {@code DRAIN_TIMEOUT}. */
    static final Duration DRAIN_REPLY_TIMEOUT = HomeEndpoints.DRAIN_TIMEOUT.plus(REPLY_TIMEOUT);

    private static final int MAXIMUM_PENDING_REQUESTS = 1_024;
    private static final int MAXIMUM_HANDLED_REQUESTS = 64;

    private final Sender mSender;
    private final HomeEndpoints mHome;
    private final TaskTimer mTimer;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final AtomicInteger mHandledRequests = new AtomicInteger();
    private final Map<Long, PendingRequest> mPending = new ConcurrentHashMap<>();

    PeerEndpoints(Sender sender, HomeEndpoints home, TaskTimer timer) {
        mSender = sender;
        mHome = home;
        mTimer = timer;
    }

    /** Sends a message over a session to another node; see {@code PeerLinks.trySend}. */
    interface Sender {
        CompletableFuture<Optional<String>> trySend(
                String peerAddress,
                String node,
                PeerMessage.Channel channel,
                byte[] payload,
                BooleanSupplier wanted);
    }

    /** Result of a request to a home node. */
    sealed interface RequestResult {
        /** The home node replied. */
        record Replied(OperatorsReply reply) implements RequestResult {}

        /** The request was not sent and will not be sent; it has no effect. */
        record NotSent(String reason) implements RequestResult {}

        /** The request was sent, but no reply arrived in time; its effect is unknown. */
        record ReplyMissing(String reason) implements RequestResult {}
    }

    private enum Phase {
        WAITING,
        SENT,
        EXPIRED
    }

    private record PendingRequest(
            String node, AtomicReference<Phase> phase, CompletableFuture<RequestResult> result) {}

    CompletableFuture<RequestResult> sendRequest(
            NodeRecord home, OperatorsRequest.Action action, String backendServer) {
        if (mPending.size() >= MAXIMUM_PENDING_REQUESTS) {
            return CompletableFuture.completedFuture(
                    new RequestResult.NotSent(
                            "this node waits for "
                                    + MAXIMUM_PENDING_REQUESTS
                                    + " replies already; try again later"));
        }
        long number = mLastNumber.incrementAndGet();
        PendingRequest pending =
                new PendingRequest(
                        home.node(),
                        new AtomicReference<>(Phase.WAITING),
                        new CompletableFuture<>());
        mPending.put(number, pending);
        pending.result().whenComplete((result, thrown) -> mPending.remove(number));
        Duration timeout =
                action == OperatorsRequest.Action.DRAIN ? DRAIN_REPLY_TIMEOUT : REPLY_TIMEOUT;
        mTimer.runAfter(timeout, () -> expire(pending, timeout));
        mSender.trySend(
                        home.peerAddress(),
                        home.node(),
                        PeerMessage.Channel.OPERATORS,
                        OperatorsMessageCodec.encode(
                                new OperatorsRequest(number, action, backendServer)),
                        () -> pending.phase().compareAndSet(Phase.WAITING, Phase.SENT))
                .thenAccept(
                        refusal ->
                                refusal.ifPresent(
                                        reason ->
                                                pending.result()
                                                        .complete(
                                                                new RequestResult.NotSent(
                                                                        reason))));
        return pending.result();
    }

    /**
     * Completes a request that has no result yet. The phase {@code EXPIRED} prevents that it is
     * sent later, so that only a request that was in the phase {@code SENT} can have had an effect.
     */
    private static void expire(PendingRequest pending, Duration timeout) {
        Phase before = pending.phase().getAndSet(Phase.EXPIRED);
        String withinTimeout = " within " + timeout.toSeconds() + " s";
        pending.result()
                .complete(
                        before == Phase.SENT
                                ? new RequestResult.ReplyMissing("no reply" + withinTimeout)
                                : new RequestResult.NotSent("no session was open" + withinTimeout));
    }

    /** Handles a request or reply of another node; {@code reply} sends a message back to it. */
    void receive(String node, byte[] payload, Consumer<byte[]> reply)
            throws MessageFormatException {
        switch (OperatorsMessageCodec.decode(payload)) {
            case OperatorsRequest request -> handle(request, reply);
            case OperatorsReply received -> complete(node, received);
        }
    }

    private void complete(String node, OperatorsReply reply) {
        PendingRequest pending = mPending.get(reply.number());
        if (pending != null && pending.node().equals(node)) {
            pending.result().complete(new RequestResult.Replied(reply));
        }
    }

    private void handle(OperatorsRequest request, Consumer<byte[]> reply) {
        if (mHandledRequests.incrementAndGet() > MAXIMUM_HANDLED_REQUESTS) {
            mHandledRequests.decrementAndGet();
            reply.accept(
                    OperatorsMessageCodec.encode(
                            new OperatorsReply(
                                    request.number(),
                                    OperatorsReply.Outcome.BUSY,
                                    "the home node handles "
                                            + MAXIMUM_HANDLED_REQUESTS
                                            + " requests of operators already; try again later",
                                    java.util.List.of(),
                                    java.util.List.of())));
            return;
        }
        mHome.handle(request.action(), request.backendServer())
                .whenComplete((result, thrown) -> mHandledRequests.decrementAndGet())
                .thenAccept(
                        result ->
                                reply.accept(
                                        OperatorsMessageCodec.encode(
                                                new OperatorsReply(
                                                        request.number(),
                                                        result.outcome(),
                                                        result.reason(),
                                                        result.endpoints(),
                                                        result.decisions()))));
    }
}

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

/** Asks other home nodes about their backend servers and answers when they ask. */
final class PeerEndpoints {
    /** Time for a message to the home node and back, and for opening a session. */
    static final Duration REPLY_LIMIT = Duration.ofSeconds(2);

    /** A drain takes the home node up to its own limit before it replies. */
    static final Duration DRAIN_REPLY_LIMIT = HomeEndpoints.DRAIN_LIMIT.plus(REPLY_LIMIT);

    private static final int MAXIMUM_PENDING = 1_024;
    private static final int MAXIMUM_HANDLED = 64;

    private final Sender mSender;
    private final HomeEndpoints mHome;
    private final TaskTimer mTimer;
    private final AtomicLong mNumber = new AtomicLong();
    private final AtomicInteger mHandled = new AtomicInteger();
    private final Map<Long, Question> mPending = new ConcurrentHashMap<>();

    PeerEndpoints(Sender sender, HomeEndpoints home, TaskTimer timer) {
        mSender = sender;
        mHome = home;
        mTimer = timer;
    }

    /** Sends a message over a session; see {@code PeerLinks.trySend}. */
    interface Sender {
        CompletableFuture<Optional<String>> trySend(
                String peerAddress,
                String node,
                PeerMessage.Channel channel,
                byte[] payload,
                BooleanSupplier wanted);
    }

    /** What is known after asking a home node. */
    sealed interface Answer {
        /** The home node replied. */
        record Replied(OperatorsReply reply) implements Answer {}

        /** The request was not sent and never will be. */
        record NotSent(String reason) implements Answer {}

        /** The request was sent and no reply came in time. */
        record Lost(String reason) implements Answer {}
    }

    private enum Phase {
        WAITING,
        SENT,
        EXPIRED
    }

    private record Question(
            String node, AtomicReference<Phase> phase, CompletableFuture<Answer> answer) {}

    CompletableFuture<Answer> ask(
            NodeRecord home, OperatorsRequest.Action action, String backendServer) {
        if (mPending.size() >= MAXIMUM_PENDING) {
            return CompletableFuture.completedFuture(
                    new Answer.NotSent("more than " + MAXIMUM_PENDING + " requests wait for one"));
        }
        long number = mNumber.incrementAndGet();
        Question question =
                new Question(
                        home.node(),
                        new AtomicReference<>(Phase.WAITING),
                        new CompletableFuture<>());
        mPending.put(number, question);
        question.answer().whenComplete((answer, thrown) -> mPending.remove(number));
        Duration limit = action == OperatorsRequest.Action.DRAIN ? DRAIN_REPLY_LIMIT : REPLY_LIMIT;
        mTimer.runAfter(limit, () -> expire(question, limit));
        mSender.trySend(
                        home.peerAddress(),
                        home.node(),
                        PeerMessage.Channel.OPERATORS,
                        OperatorsMessageCodec.encode(
                                new OperatorsRequest(number, action, backendServer)),
                        () -> question.phase().compareAndSet(Phase.WAITING, Phase.SENT))
                .thenAccept(
                        refusal ->
                                refusal.ifPresent(
                                        reason ->
                                                question.answer()
                                                        .complete(new Answer.NotSent(reason))));
        return question.answer();
    }

    /** Only a request that was sent can have had an effect. */
    private static void expire(Question question, Duration limit) {
        Phase before = question.phase().getAndSet(Phase.EXPIRED);
        String waited = " within " + limit.toSeconds() + " s";
        question.answer()
                .complete(
                        before == Phase.SENT
                                ? new Answer.Lost("no reply" + waited)
                                : new Answer.NotSent("no session was open" + waited));
    }

    /** Takes a message of another node. */
    void receive(String node, byte[] payload, Consumer<byte[]> reply)
            throws MessageFormatException {
        switch (OperatorsMessageCodec.decode(payload)) {
            case OperatorsRequest request -> handle(request, reply);
            case OperatorsReply received -> complete(node, received);
        }
    }

    private void complete(String node, OperatorsReply reply) {
        Question question = mPending.get(reply.number());
        if (question != null && question.node().equals(node)) {
            question.answer().complete(new Answer.Replied(reply));
        }
    }

    private void handle(OperatorsRequest request, Consumer<byte[]> reply) {
        if (mHandled.incrementAndGet() > MAXIMUM_HANDLED) {
            mHandled.decrementAndGet();
            reply.accept(
                    OperatorsMessageCodec.encode(
                            new OperatorsReply(
                                    request.number(),
                                    OperatorsReply.Outcome.BUSY,
                                    "it handles "
                                            + MAXIMUM_HANDLED
                                            + " requests of operators already; try again",
                                    java.util.List.of(),
                                    java.util.List.of())));
            return;
        }
        mHome.handle(request.action(), request.backendServer())
                .whenComplete((result, thrown) -> mHandled.decrementAndGet())
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

package org.arbutuslock.daemon.internal.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.operators.OperatorsMessageCodec;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.internal.operators.OperatorsRequest;
import org.testng.annotations.Test;

/**
 * Guards against a wrong outcome of a drain: a request that was sent and got no reply may have had
 * an effect, and a request that was reported as not sent must not be sent later.
 */
public class PeerEndpointsTest {
    private static final NodeRecord HOME =
            new NodeRecord("regina-b-1", 1, 1, "127.0.0.1:1", "", "", 1, false, List.of());

    private final List<Runnable> mTimers = new ArrayList<>();
    private final CompletableFuture<Optional<String>> mSent = new CompletableFuture<>();
    private BooleanSupplier mWanted;
    private final PeerEndpoints mPeers =
            new PeerEndpoints(
                    (address, node, channel, payload, wanted) -> {
                        mWanted = wanted;
                        return mSent;
                    },
                    null,
                    (delay, task) -> mTimers.add(task));

    @Test
    public void should_tell_a_lost_reply_from_a_request_that_was_not_sent() throws Exception {
        var lost = sendDrain();
        assertTrue(mWanted.getAsBoolean());
        expire();
        assertTrue(
                lost.join() instanceof PeerEndpoints.RequestResult.ReplyMissing,
                lost.join().toString());

        var late = sendDrain();
        expire();
        assertTrue(late.join() instanceof PeerEndpoints.RequestResult.NotSent);
        assertFalse(
                mWanted.getAsBoolean(),
                "the request can still be sent after it was reported as not sent");

        var replied = sendDrain();
        assertTrue(mWanted.getAsBoolean());
        OperatorsReply reply =
                new OperatorsReply(3, OperatorsReply.Outcome.ACCEPTED, "", List.of(), List.of());
        byte[] encoded = OperatorsMessageCodec.encode(reply);
        mPeers.receive("another-node", encoded, ignored -> {});
        assertFalse(replied.isDone(), "a reply of a node other than the home node was accepted");
        mPeers.receive(HOME.node(), encoded, ignored -> {});
        assertEquals(replied.join(), new PeerEndpoints.RequestResult.Replied(reply));
    }

    private CompletableFuture<PeerEndpoints.RequestResult> sendDrain() {
        return mPeers.sendRequest(HOME, OperatorsRequest.Action.DRAIN, "order-hub-1");
    }

    private void expire() {
        mTimers.forEach(Runnable::run);
        mTimers.clear();
    }
}

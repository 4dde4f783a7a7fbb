package org.arbutuslock.daemon.internal.sessions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.daemon.internal.exchange.OutcomeReport;
import org.arbutuslock.daemon.internal.exchange.ResponseEvent;
import org.arbutuslock.daemon.internal.exchange.ResponseListener;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageWriter;
import org.arbutuslock.internal.messages.OutcomeState;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a message about one request that ends the session with all other requests between
 * two nodes: downloads of other callers were cut off.
 */
public class SessionIsolationTest {
    private static final LocalNode LOCAL = new LocalNode("a", 1, "west", "calgary", "127.0.0.1:1");
    private static final int SUBMIT = 4;
    private static final int SUBMIT_FIELDS = 14;
    private static final int REQUEST_BODY = 5;
    private static final int RESPONSE_HEAD = 7;
    private static final int RESPONSE_FIELDS = 5;
    private static final int OUTCOME_QUERY = 12;
    private static final String TOO_LONG = "v".repeat(PeerMessageCodec.MAXIMUM_MESSAGE_BYTES);

    private final ChannelMessageDispatcher mDispatcher = new ChannelMessageDispatcher();
    private EmbeddedChannel mChannel;
    private RecordingHome mHome;
    private ClientSession mClient;

    @BeforeMethod
    public void setUp() {
        mChannel = new EmbeddedChannel();
        mHome = new RecordingHome();
    }

    @AfterMethod
    public void tearDown() {
        mChannel.finishAndReleaseAll();
    }

    @Test
    public void should_refuse_only_the_submission_that_cannot_be_read() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receiveUnreadable(SUBMIT, SUBMIT_FIELDS, 2);
        PeerMessage.Refusal refusal = (PeerMessage.Refusal) readSent().getFirst();
        assertEquals(refusal.stream(), 2);
        assertEquals(refusal.reason(), RefusalReason.NOT_TRANSMITTED);
        // A refused request never runs, not even from a second copy of its submission.
        receive(SessionRequests.submit(2, 0));
        assertEquals(mHome.mListeners.size(), 1);
        requireServing();
    }

    @Test
    public void should_refuse_a_request_with_an_unreadable_part_of_its_body() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receive(SessionRequests.submit(2, 8));
        receiveUnreadable(REQUEST_BODY, 4, 2);
        assertEquals(((PeerMessage.Refusal) readSent().getFirst()).stream(), 2);
        requireServing();
    }

    @Test
    public void should_refuse_a_request_with_a_longer_body_than_announced() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receive(SessionRequests.submit(2, 1));
        receive(new PeerMessage.RequestBody(2, 0, new byte[2]));
        assertEquals(((PeerMessage.Refusal) readSent().getFirst()).stream(), 2);
        assertEquals(mHome.mListeners.size(), 1);
        requireServing();
    }

    @Test
    public void should_report_an_unknown_outcome_when_the_start_of_a_request_fails()
            throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        mHome.mFailing = true;
        receive(SessionRequests.submit(2, 0));
        assertEquals(((PeerMessage.OutcomeUnknown) readSent().getFirst()).stream(), 2);
        requireServing();
    }

    @Test
    public void should_report_an_unknown_outcome_for_a_head_that_cannot_be_sent() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receive(SessionRequests.submit(2, 0));
        List<HeaderField> headers = List.of(new HeaderField("n", TOO_LONG));
        mHome.mListeners.get(1).handle(new ResponseEvent.Head(200, headers, LoadReport.UNKNOWN));
        assertEquals(((PeerMessage.OutcomeUnknown) readSent().getFirst()).stream(), 2);
        assertEquals(mHome.mCancelled, 1);
        requireServing();
    }

    @Test
    public void should_reply_to_a_query_that_cannot_be_read() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receiveUnreadable(OUTCOME_QUERY, 5, 6);
        assertEquals(
                readSent().getFirst(),
                new PeerMessage.OutcomeReply(6, OutcomeState.FORGOTTEN, Optional.empty()));
        requireServing();
    }

    @Test
    public void should_drop_only_the_plug_in_message_that_cannot_be_read() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        mDispatcher.listen(
                PeerMessage.Channel.HEALTH,
                (node, payload, reply) -> {
                    throw new MessageFormatException(0, "digest", "odd");
                });
        receive(new PeerMessage.ChannelMessage(PeerMessage.Channel.HEALTH, new byte[1]));
        requireServing();
    }

    @Test
    public void should_ignore_a_message_of_an_unknown_type() throws Exception {
        startServer();
        receive(SessionRequests.submit(1, 0));
        receiveUnreadable(99, 2, 1);
        requireServing();
    }

    @Test
    public void should_end_only_the_request_whose_response_cannot_be_read() throws Exception {
        startClient();
        List<ResponseEvent> first = submitToPeer(List.of());
        List<ResponseEvent> second = submitToPeer(List.of());
        readSent();
        receiveUnreadable(RESPONSE_HEAD, RESPONSE_FIELDS, 2);
        // The home node has recorded the outcome, which the caller of the request can query.
        ResponseEvent.SessionLost lost = (ResponseEvent.SessionLost) second.getFirst();
        assertEquals(lost.submission(), mClient.submission());
        assertEquals(readSent(), List.of(new PeerMessage.Cancel(2)));
        receive(new PeerMessage.ResponseBody(1, 0, new byte[1], true));
        assertEquals(first.size(), 1);
        assertTrue(mChannel.isOpen());
    }

    @Test
    public void should_refuse_only_the_request_that_cannot_be_sent() throws Exception {
        startClient();
        List<ResponseEvent> first = submitToPeer(List.of());
        List<ResponseEvent> second = submitToPeer(List.of(new HeaderField("n", TOO_LONG)));
        assertEquals(second.size(), 1);
        assertEquals(
                ((ResponseEvent.Refused) second.getFirst()).reason(),
                RefusalReason.NOT_TRANSMITTED);
        receive(new PeerMessage.ResponseBody(1, 0, new byte[1], true));
        assertEquals(first.size(), 1);
        assertTrue(mChannel.isOpen());
    }

    /** Guards against requests that a node of an earlier release cannot read. */
    @Test
    public void should_name_the_route_only_to_a_node_that_knows_the_field() throws Exception {
        for (int version = 1; version <= PeerMessage.ROUTE_VERSION; version++) {
            setUp();
            startClient(version);
            submitToPeer(List.of());
            PeerMessage.Submit submit = (PeerMessage.Submit) readSent().getFirst();
            assertEquals(submit.route(), version == 1 ? "" : SessionRequests.ROUTE);
        }
    }

    private void startServer() throws Exception {
        new ServerSession(LOCAL, new ManualClock(), new SessionCounts(), mHome, mDispatcher)
                .install(mChannel);
        mChannel.pipeline().fireChannelActive();
        receive(new PeerMessage.Hello(1, 1, "b", 1, "west", "calgary"));
        readSent();
    }

    private void startClient() throws Exception {
        startClient(PeerMessage.ROUTE_VERSION);
    }

    private void startClient(int version) throws Exception {
        mClient =
                new ClientSession(
                        LOCAL,
                        new ManualClock(),
                        new SessionCounts(),
                        "127.0.0.1:2",
                        mDispatcher,
                        () -> {});
        mClient.install(mChannel);
        mChannel.pipeline().fireChannelActive();
        receive(new PeerMessage.HelloReply(version, "b", 1, 1, "west", "calgary"));
        readSent();
    }

    private List<ResponseEvent> submitToPeer(List<HeaderField> headers) {
        List<ResponseEvent> events = new ArrayList<>();
        mClient.submit(SessionRequests.request(16, headers), events::add);
        return events;
    }

    /** Checks that the first request is still in progress and that heartbeats are answered. */
    private void requireServing() throws Exception {
        readSent();
        receive(new PeerMessage.Heartbeat(5));
        assertEquals(readSent(), List.of(new PeerMessage.HeartbeatReply(5)));
        mHome.mListeners.getFirst().handle(new ResponseEvent.Body(new byte[1], true));
        assertEquals(((PeerMessage.ResponseBody) readSent().getFirst()).stream(), 1);
        assertTrue(mChannel.isOpen());
    }

    private void receive(PeerMessage message) throws Exception {
        receiveFrame(PeerMessageCodec.encode(message));
    }

    /** Receives a message of a type that ends after its first field. */
    private void receiveUnreadable(int type, int fields, long number) {
        receiveFrame(
                new MessageWriter()
                        .writeArrayHeader(fields)
                        .writeLong(type)
                        .writeLong(number)
                        .toBytes());
    }

    private void receiveFrame(byte[] encoded) {
        mChannel.writeInbound(Unpooled.buffer().writeInt(encoded.length).writeBytes(encoded));
        mChannel.runPendingTasks();
    }

    private List<PeerMessage> readSent() throws Exception {
        mChannel.runPendingTasks();
        List<PeerMessage> messages = new ArrayList<>();
        for (ByteBuf sent = mChannel.readOutbound(); sent != null; sent = mChannel.readOutbound()) {
            while (sent.isReadable()) {
                ByteBuf frame = sent.readSlice(sent.readInt());
                messages.add(PeerMessageCodec.decode(ByteBufUtil.getBytes(frame)));
            }
            sent.release();
        }
        return messages;
    }

    /** Keeps the listeners of the requests that were started. */
    private static final class RecordingHome implements HomeNode {
        private final List<ResponseListener> mListeners = new ArrayList<>();
        private boolean mFailing;
        private int mCancelled;

        @Override
        public long openSession(Runnable onFenced) {
            return 1;
        }

        @Override
        public void closeSession(long session) {}

        @Override
        public Exchange submit(long session, ExecutionRequest request, ResponseListener listener) {
            if (mFailing) {
                throw new IllegalStateException("planted");
            }
            mListeners.add(listener);
            return new Exchange() {
                @Override
                public void grantCredit(int bytes) {}

                @Override
                public void cancel() {
                    mCancelled++;
                }
            };
        }

        @Override
        public OutcomeReport query(RequestId id, long incarnation, long fencedSession) {
            return new OutcomeReport(OutcomeState.NOT_RUN, Optional.empty());
        }

        @Override
        public void acknowledge(RequestId id) {}
    }
}

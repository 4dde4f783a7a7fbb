package org.arbutuslock.internal.messages;

import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;

/** One message between two nodes. Streams number the requests of one session. */
public sealed interface PeerMessage {
    /** Largest body part in one message. */
    int MAXIMUM_BODY_PART_BYTES = 16 * 1024;

    /**
     * First message of the connecting node.
     *
     * @param lowestVersion lowest protocol version that the sender speaks
     * @param highestVersion highest protocol version that the sender speaks
     * @param node name of the sender
     * @param incarnation incarnation of the sender
     * @param region region of the sender
     * @param availabilityZone availability zone of the sender
     */
    record Hello(
            int lowestVersion,
            int highestVersion,
            String node,
            long incarnation,
            String region,
            String availabilityZone)
            implements PeerMessage {}

    /**
     * First message of the accepting node.
     *
     * @param version protocol version of this session
     * @param node name of the sender
     * @param incarnation incarnation of the sender
     * @param session number of the session, unique within that incarnation
     * @param region region of the sender
     * @param availabilityZone availability zone of the sender
     */
    record HelloReply(
            int version,
            String node,
            long incarnation,
            long session,
            String region,
            String availabilityZone)
            implements PeerMessage {}

    /**
     * Asks the other side for a sign of life.
     *
     * @param number number of the heartbeat
     */
    record Heartbeat(long number) implements PeerMessage {}

    /**
     * Answers a heartbeat.
     *
     * @param number number of the heartbeat
     */
    record HeartbeatReply(long number) implements PeerMessage {}

    /**
     * Submits a request to the home node of an endpoint. Stream numbers of one session increase.
     *
     * @param stream stream number
     * @param requestId id of the request
     * @param endpoint endpoint that shall execute it
     * @param method HTTP method
     * @param target HTTP request target
     * @param headers header fields without those of the connection
     * @param bodyBytes length of the body, which follows in {@link RequestBody} messages
     * @param workClass short or long work
     * @param idempotent true when it may be executed more than once
     * @param tenant name of the tenant, or empty
     * @param tenantWeight weight of the tenant
     * @param priority 0 to 9
     * @param remainingMillis time left until the deadline
     * @param expectation what the entry node expects
     */
    record Submit(
            long stream,
            RequestId requestId,
            EndpointId endpoint,
            String method,
            String target,
            List<HeaderField> headers,
            int bodyBytes,
            WorkClass workClass,
            boolean idempotent,
            String tenant,
            int tenantWeight,
            int priority,
            int remainingMillis,
            SubmissionRequirements expectation)
            implements PeerMessage {
        /** Copies the list of headers. */
        public Submit {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Part of a request body.
     *
     * @param stream stream number
     * @param position bytes of the body before this part; recognizes a duplicated frame
     * @param data bytes of this part
     */
    record RequestBody(long stream, long position, byte[] data) implements PeerMessage {}

    /**
     * Allows the home node to send more of a response body.
     *
     * @param stream stream number
     * @param bytes additional bytes
     */
    record Credit(long stream, int bytes) implements PeerMessage {}

    /**
     * Start of a response.
     *
     * @param stream stream number
     * @param status HTTP status code
     * @param headers header fields without those of the connection
     * @param load load of the endpoint
     */
    record ResponseHead(long stream, int status, List<HeaderField> headers, LoadReport load)
            implements PeerMessage {
        /** Copies the list of headers. */
        public ResponseHead {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Part of a response body.
     *
     * @param stream stream number
     * @param position bytes of the body before this part; recognizes a duplicated frame
     * @param data bytes of this part
     * @param last true when the response is complete
     */
    record ResponseBody(long stream, long position, byte[] data, boolean last)
            implements PeerMessage {}

    /**
     * The request was not executed and never will be; recorded in the execution ledger.
     *
     * @param stream stream number
     * @param reason why
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record Refusal(long stream, RefusalReason reason, String detail, LoadReport load)
            implements PeerMessage {}

    /**
     * The request was dispatched, but its response cannot be completed.
     *
     * @param stream stream number
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record OutcomeUnknown(long stream, String detail, LoadReport load) implements PeerMessage {}

    /**
     * The caller no longer waits for the response.
     *
     * @param stream stream number
     */
    record Cancel(long stream) implements PeerMessage {}

    /**
     * Asks for the outcome of a request and fences the session on which it was submitted.
     *
     * @param query number of the query within this session
     * @param requestId id of the request
     * @param incarnation incarnation of the home node to which it was submitted
     * @param fencedSession session on which it was submitted
     */
    record OutcomeQuery(long query, RequestId requestId, long incarnation, long fencedSession)
            implements PeerMessage {}

    /**
     * Reports the outcome of a request.
     *
     * @param query number of the query
     * @param state what the home node knows
     * @param response the kept response when the state is {@link OutcomeState#ANSWERED}
     */
    record OutcomeReply(long query, OutcomeState state, Optional<BufferedResponse> response)
            implements PeerMessage {}

    /**
     * Frees the kept response of a request.
     *
     * @param requestId id of the request
     */
    record Acknowledge(RequestId requestId) implements PeerMessage {}

    /**
     * Message of a plug-in, with a codec of its own.
     *
     * @param channel which plug-in it is for
     * @param payload encoded message
     */
    record ChannelMessage(Channel channel, byte[] payload) implements PeerMessage {}

    /** Plug-ins that exchange messages over the sessions of a node. */
    enum Channel {
        /** Pledges between endpoints of a service. */
        PLEDGES,
        /** Digests of the health of endpoints. */
        HEALTH,
        /** Node records and their digests. */
        MEMBERSHIP,
        /** Configuration changes and snapshots. */
        CONFIGURATION,
        /** Requests of operators about the backend servers of another node. */
        OPERATORS
    }
}

package org.arbutuslock.internal.messages;

import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * A message between two nodes over a session. Each request of a session has a stream number, which
 * all messages about that request carry.
 */
public sealed interface PeerMessage {
    /** Largest part of a request or response body in one message, in bytes. */
    int MAXIMUM_BODY_PART_BYTES = 16 * 1024;

    /** Lowest protocol version in which a {@link Submit} may name its route. */
    int ROUTE_VERSION = 2;

    /**
     * First message of a session, sent by the connecting node.
     *
     * @param lowestVersion lowest protocol version that the sender supports
     * @param highestVersion highest protocol version that the sender supports
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
     * Reply of the accepting node to {@link Hello}.
     *
     * @param version protocol version of this session
     * @param node name of the sender
     * @param incarnation incarnation of the sender
     * @param session number of the session, unique within the incarnation of the sender
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
     * Asks the other node for a {@link HeartbeatReply}, to detect that it is silent.
     *
     * @param number number of the heartbeat
     */
    record Heartbeat(long number) implements PeerMessage {}

    /**
     * Replies to a heartbeat.
     *
     * @param number number of the heartbeat that was received
     */
    record HeartbeatReply(long number) implements PeerMessage {}

    /**
     * Submits a request to the home node of an endpoint.
     *
     * @param stream stream number, higher than in all earlier submissions of the session
     * @param requestId id of the request
     * @param endpoint endpoint that executes the request
     * @param method HTTP method
     * @param target HTTP request target
     * @param headers header fields without hop-by-hop fields
     * @param bodyBytes length of the body in bytes; the body follows in {@link RequestBody}
     *     messages
     * @param workClass short or long work
     * @param idempotent true when the request may be executed more than once
     * @param tenant name of the tenant, or empty when the request has none
     * @param tenantWeight weight of the tenant, 1 to 100
     * @param priority priority, 0 to 9
     * @param remainingMillis time left until the deadline in milliseconds, 0 when it has passed
     * @param requirements latency objective and health of the endpoint that the entry node requires
     * @param route name of the route, or empty when the request has none or the session has a
     *     version below {@link #ROUTE_VERSION}
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
            SubmissionRequirements requirements,
            String route)
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
     * @param position offset of this part in the body, in bytes; a duplicated frame is detected by
     *     it
     * @param data bytes of this part
     */
    record RequestBody(long stream, long position, byte[] data) implements PeerMessage {}

    /**
     * Grants flow-control credit: the home node may send more of a response body.
     *
     * @param stream stream number
     * @param bytes number of additional bytes
     */
    record Credit(long stream, int bytes) implements PeerMessage {}

    /**
     * Status and header fields of a response.
     *
     * @param stream stream number
     * @param status HTTP status code
     * @param headers header fields without hop-by-hop fields
     * @param load load of the endpoint when the response started
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
     * @param position offset of this part in the body, in bytes; a duplicated frame is detected by
     *     it
     * @param data bytes of this part
     * @param last true when the response is complete
     */
    record ResponseBody(long stream, long position, byte[] data, boolean last)
            implements PeerMessage {}

    /**
     * The request was not executed and never will be, which the execution ledger has recorded.
     *
     * @param stream stream number
     * @param reason reason of the refusal
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record Refusal(long stream, RefusalReason reason, String detail, LoadReport load)
            implements PeerMessage {}

    /**
     * The request was dispatched, but its response cannot be completed. Whether the backend server
     * executed it is unknown.
     *
     * @param stream stream number
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record OutcomeUnknown(long stream, String detail, LoadReport load) implements PeerMessage {}

    /**
     * The entry node no longer wants the response.
     *
     * @param stream stream number
     */
    record Cancel(long stream) implements PeerMessage {}

    /**
     * Queries the outcome of a request. If the home node has no record of the request, it fences
     * the session on which the request was submitted, so that the request can no longer arrive.
     *
     * @param query number of the query within the session that carries it
     * @param requestId id of the request
     * @param incarnation incarnation of the home node to which the request was submitted
     * @param fencedSession number of the session on which the request was submitted
     */
    record OutcomeQuery(long query, RequestId requestId, long incarnation, long fencedSession)
            implements PeerMessage {}

    /**
     * Replies to an outcome query.
     *
     * @param query number of the query
     * @param state outcome that the home node has recorded
     * @param response the kept response when the state is {@link OutcomeState#ANSWERED}, else empty
     */
    record OutcomeReply(long query, OutcomeState state, Optional<BufferedResponse> response)
            implements PeerMessage {}

    /**
     * Acknowledges the outcome of a request, so that the home node can free the kept response.
     *
     * @param requestId id of the request
     */
    record Acknowledge(RequestId requestId) implements PeerMessage {}

    /**
     * Message of a plug-in.
     *
     * @param channel channel of the plug-in that receives the message
     * @param payload message in the plug-in's own encoding
     */
    record ChannelMessage(Channel channel, byte[] payload) implements PeerMessage {}

    /** Channels of the plug-ins that exchange messages over sessions; encoded as the ordinal. */
    enum Channel {
        /** Reservations of the ejection protocol between endpoints of a service. */
        RESERVATIONS,
        /** Digests of the health of endpoints. */
        HEALTH,
        /** Gossip messages with node records and their digests. */
        MEMBERSHIP,
        /** Configuration changes and snapshots. */
        CONFIGURATION,
        /** Requests of operators about the backend servers of another node. */
        OPERATORS
    }
}

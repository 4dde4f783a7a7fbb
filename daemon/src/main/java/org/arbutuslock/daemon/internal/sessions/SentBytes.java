package org.arbutuslock.daemon.internal.sessions;

import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.selection.ZoneDistance;

/** Counts the bytes that a node sends to other nodes, by purpose and distance. Thread safe. */
public final class SentBytes {
    private final LongAdder[][] mBytes =
            Stream.generate(
                            () ->
                                    Stream.generate(LongAdder::new)
                                            .limit(ZoneDistance.values().length)
                                            .toArray(LongAdder[]::new))
                    .limit(Purpose.values().length)
                    .toArray(LongAdder[][]::new);

    /** Creates counters that are 0. */
    SentBytes() {}

    /** Counts one message. */
    void add(PeerMessage message, ZoneDistance distance, int bytes) {
        mBytes[Purpose.of(message).ordinal()][distance.ordinal()].add(bytes);
    }

    /**
     * Returns the bytes that were sent since the start of the process.
     *
     * @param purpose purpose of the messages
     * @param distance distance to the receivers
     * @return bytes of frames, without the headers of TCP and IP
     */
    public long sum(Purpose purpose, ZoneDistance distance) {
        return mBytes[purpose.ordinal()][distance.ordinal()].sum();
    }

    /** Why a message is sent. */
    public enum Purpose {
        /** Requests of callers, their responses and outcomes. */
        REQUESTS,
        /** Handshakes and heartbeats of sessions. */
        SESSIONS,
        /** Reservations of the ejection protocol. */
        RESERVATIONS,
        /** Health digests of endpoints. */
        HEALTH,
        /** Gossip about the members of the fleet. */
        MEMBERSHIP,
        /** Configuration of the operators. */
        CONFIGURATION,
        /** Calls of operators that another node answers. */
        OPERATORS;

        private static Purpose of(PeerMessage message) {
            return switch (message) {
                case PeerMessage.Hello hello -> SESSIONS;
                case PeerMessage.HelloReply reply -> SESSIONS;
                case PeerMessage.Heartbeat heartbeat -> SESSIONS;
                case PeerMessage.HeartbeatReply reply -> SESSIONS;
                case PeerMessage.ChannelMessage(var channel, var payload) ->
                        switch (channel) {
                            case RESERVATIONS -> RESERVATIONS;
                            case HEALTH -> HEALTH;
                            case MEMBERSHIP -> MEMBERSHIP;
                            case CONFIGURATION -> CONFIGURATION;
                            case OPERATORS -> OPERATORS;
                        };
                default -> REQUESTS;
            };
        }
    }
}

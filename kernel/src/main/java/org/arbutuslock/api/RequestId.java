package org.arbutuslock.api;

import java.util.Optional;

/**
 * Names one request of a caller across all nodes and retries.
 *
 * <pre>{@code
 * RequestId id = new RequestId("calgary-a-1", 0x18f2L, 42);
 * id.format(); // "calgary-a-1.18f2.2a"
 * }</pre>
 *
 * @param entryNode name of the node that received the request
 * @param entryIncarnation incarnation of that node
 * @param sequence number of the request within that incarnation, a multiple of {@link
 *     #MAXIMUM_ATTEMPTS}, plus the number of the attempt
 */
public record RequestId(String entryNode, long entryIncarnation, long sequence) {
    /** Attempts that one request can have at different endpoints. */
    public static final int MAXIMUM_ATTEMPTS = 8;

    private static final int HEXADECIMAL = 16;

    /**
     * Returns the id of one attempt of this request. Every attempt is recorded on its own, since
     * two endpoints of one home node share a record of executions.
     *
     * @param attempt number of the attempt, 0 to {@link #MAXIMUM_ATTEMPTS} - 1
     * @return id with the attempt in the lowest digits of the sequence
     */
    public RequestId withAttempt(int attempt) {
        return new RequestId(
                entryNode,
                entryIncarnation,
                sequence - Math.floorMod(sequence, MAXIMUM_ATTEMPTS) + attempt);
    }

    /**
     * Formats this id for headers and logs.
     *
     * @return entry node, incarnation and sequence, joined by dots, numbers in hexadecimal
     */
    public String format() {
        return entryNode
                + "."
                + Long.toHexString(entryIncarnation)
                + "."
                + Long.toHexString(sequence);
    }

    /**
     * Reads the result of {@link #format()}.
     *
     * @param text the formatted id
     * @return the id, or empty when the text is not one
     */
    public static Optional<RequestId> parse(String text) {
        int sequenceDot = text.lastIndexOf('.');
        int incarnationDot = sequenceDot < 1 ? -1 : text.lastIndexOf('.', sequenceDot - 1);
        if (incarnationDot < 1) {
            return Optional.empty();
        }
        try {
            long incarnation =
                    Long.parseUnsignedLong(text, incarnationDot + 1, sequenceDot, HEXADECIMAL);
            long sequence =
                    Long.parseUnsignedLong(text, sequenceDot + 1, text.length(), HEXADECIMAL);
            return Optional.of(
                    new RequestId(text.substring(0, incarnationDot), incarnation, sequence));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}

package org.arbutuslock.daemon.internal.callers;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Tracks the part of a response that was sent to the caller, so that the rest can come from another
 * execution of the same idempotent request. Status, length and a hash of the sent bytes must match.
 *
 * <pre>{@code
 * SentResponse.Continuation continuation = sent.continueWith(status, headers).orElseThrow();
 * Optional<byte[]> unsent = continuation.removeSentPrefix(data);
 * }</pre>
 */
final class SentResponse {
    private static final String HASH = "SHA-256";

    private final int mStatus;
    private final Optional<String> mLength;
    private final MessageDigest mHash = createHash();
    private long mBytes;

    SentResponse(int status, List<HeaderField> headers) {
        mStatus = status;
        mLength = findLength(headers);
    }

    void add(byte[] data) {
        mHash.update(data);
        mBytes += data.length;
    }

    /**
     * Returns whether another execution can continue the response. A response without a content
     * length cannot be compared.
     */
    boolean isContinuable() {
        return mLength.isPresent();
    }

    /** Starts the comparison with another execution; empty if its head does not match. */
    Optional<Continuation> continueWith(int status, List<HeaderField> headers) {
        boolean same = status == mStatus && isContinuable() && findLength(headers).equals(mLength);
        return same ? Optional.of(new Continuation()) : Optional.empty();
    }

    private static Optional<String> findLength(List<HeaderField> headers) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase("content-length"))
                .map(HeaderField::value)
                .findFirst();
    }

    private static MessageDigest createHash() {
        try {
            return MessageDigest.getInstance(HASH);
        } catch (NoSuchAlgorithmException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    private byte[] hashSoFar() {
        try {
            return ((MessageDigest) mHash.clone()).digest();
        } catch (CloneNotSupportedException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    /** Response of another execution. Its first part is compared and not sent again. */
    final class Continuation {
        private final MessageDigest mOtherHash = createHash();
        private final byte[] mExpected = hashSoFar();
        private long mToCompare = mBytes;

        /**
         * Returns the bytes of {@code data} that the caller does not have yet. Returns empty if the
         * first part of this response differs from the bytes sent before.
         */
        Optional<byte[]> removeSentPrefix(byte[] data) {
            if (mToCompare == 0) {
                return Optional.of(data);
            }
            int compared = (int) Math.min(mToCompare, data.length);
            mOtherHash.update(data, 0, compared);
            mToCompare -= compared;
            if (mToCompare == 0 && !MessageDigest.isEqual(mExpected, mOtherHash.digest())) {
                return Optional.empty();
            }
            return Optional.of(Arrays.copyOfRange(data, compared, data.length));
        }

        /** Returns whether all bytes that the caller has were compared. */
        boolean isCompared() {
            return mToCompare == 0;
        }
    }
}

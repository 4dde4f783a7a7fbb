package org.arbutuslock.internal.testing;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Fuzzes a decoder with random and damaged inputs. Fails on exceptions, on memory out of proportion
 * to the input, and on rejections whose message names neither position nor field. The seed is
 * {@code -Darbutuslock.seed}.
 */
public final class DecoderFuzz {
    /**
     * MessagePack headers of long strings, binaries, arrays and maps, nested arrays and scalars.
     */
    public static final List<byte[]> MESSAGE_PACK_TOKENS =
            Stream.of(
                            "dd7fffffff",
                            "ddffffffff",
                            "dcffff",
                            "db7fffffff",
                            "dbffffffff",
                            "c67fffffff",
                            "c6ffffffff",
                            "df7fffffff",
                            "c9ffffffff",
                            "daffff",
                            "d9ff",
                            "91",
                            "9f",
                            "81",
                            "c0",
                            "c1",
                            "c2",
                            "cfffffffffffffffff",
                            "d38000000000000000",
                            "cb7ff8000000000000",
                            "a2ff80",
                            "a0",
                            "90")
                    .map(HexFormat.of()::parseHex)
                    .toList();

    /** JSON brackets, and numbers and strings with extreme or malformed values. */
    public static final List<byte[]> JSON_TOKENS =
            Stream.of(
                            "[",
                            "{",
                            "}",
                            "]",
                            "{\"a\":",
                            "\"",
                            ",",
                            ":",
                            "//",
                            "/*",
                            "null",
                            "true",
                            "-1",
                            "1e999999999",
                            "99999999999999999999",
                            "0.5",
                            "\"\\u0000\"",
                            "\"\\ud800\"",
                            "\"\"",
                            "[]",
                            "{}",
                            "\n",
                            "%",
                            "\u00e9")
                    .map(token -> token.getBytes(StandardCharsets.UTF_8))
                    .toList();

    private static final int INPUT_COUNT = 100_000;

    /**
     * Allocation that does not depend on the input: parser buffers and stack traces of rejections.
     */
    private static final long FIXED_ALLOWANCE_BYTES = 64 << 10;

    /** Allowance of allocated bytes for each byte of the input. */
    private static final long ALLOWANCE_PER_INPUT_BYTE = 64;

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final String mName;
    private final List<byte[]> mValidInputs;
    private final List<byte[]> mTokens;
    private final Pattern mRejectionPattern;
    private int mAccepted;
    private int mRejected;
    private long mMaximumBytes;

    /**
     * Creates a fuzzer.
     *
     * @param name name of the decoder in reports
     * @param valid inputs that the decoder accepts, from which damaged inputs are derived
     * @param tokens byte sequences of the format to insert into inputs
     * @param rejection regular expression of a position or a field, which the message of each
     *     rejection must contain
     */
    public DecoderFuzz(String name, List<byte[]> valid, List<byte[]> tokens, String rejection) {
        mName = name;
        mValidInputs = valid;
        mTokens = tokens;
        mRejectionPattern = Pattern.compile(rejection);
    }

    /** Decodes one input; any exception fails the test. */
    public interface Decoder {
        Outcome decode(byte[] input) throws Exception;
    }

    /** Checks a value that was accepted. */
    public interface Check {
        void run() throws Exception;
    }

    /**
     * Result of decoding one input.
     *
     * @param rejection message of the rejection, or null when the input was accepted
     * @param check check of the accepted value, or null when the input was rejected
     */
    public record Outcome(String rejection, Check check) {
        public static Outcome rejected(String message) {
            return new Outcome(message, null);
        }

        public static Outcome accepted(Check check) {
            return new Outcome(null, check);
        }
    }

    /** Decodes and encodes values of one binary format. */
    public interface Codec<T> {
        T decode(byte[] bytes) throws Exception;

        byte[] encode(T value);
    }

    /**
     * Fuzzes a codec. An accepted value must survive encoding and decoding unchanged, because nodes
     * forward decoded values to other nodes.
     *
     * @param rejection type of the exception by which the codec rejects an input
     */
    public <T> void run(Class<? extends Exception> rejection, Codec<T> codec) {
        run(
                input -> {
                    try {
                        T value = codec.decode(input);
                        return Outcome.accepted(() -> requireStableEncoding(codec, value));
                    } catch (Exception failure) {
                        if (rejection.isInstance(failure)) {
                            return Outcome.rejected(failure.getMessage());
                        }
                        throw failure;
                    }
                });
    }

    private static <T> void requireStableEncoding(Codec<T> codec, T value) throws Exception {
        byte[] encoded = codec.encode(value);
        if (!Arrays.equals(codec.encode(codec.decode(encoded)), encoded)) {
            throw new AssertionError(
                    "the encoding of the value differs after decoding and encoding it again: "
                            + value);
        }
    }

    /**
     * Decodes the valid inputs and 100,000 random or damaged ones; fails unless some are rejected.
     */
    public void run(Decoder decoder) {
        long seed = Long.getLong("arbutuslock.seed", 20_261_204L);
        System.out.println("fuzzing " + mName + " arbutuslock.seed=" + seed);
        for (byte[] valid : mValidInputs) {
            requireAccepted(decoder, valid);
        }
        InputMutator mutator = new InputMutator(new SplittableRandom(seed), mValidInputs, mTokens);
        for (int index = 0; index < INPUT_COUNT; index++) {
            runOne(decoder, mutator.next(), "seed " + seed + ", input " + index);
        }
        System.out.printf(
                "%s: %d accepted, %d rejected, at most %d bytes beyond the allowance%n",
                mName, mAccepted, mRejected, mMaximumBytes);
        if (mRejected == 0) {
            throw new AssertionError(mName + ": the decoder rejected no input");
        }
    }

    private void requireAccepted(Decoder decoder, byte[] valid) {
        try {
            Outcome outcome = decoder.decode(valid);
            if (outcome.rejection() != null) {
                throw new AssertionError(
                        mName + ": a valid input was rejected: " + outcome.rejection());
            }
            outcome.check().run();
        } catch (Exception failure) {
            throw new AssertionError(mName + ": decoding a valid input failed", failure);
        }
    }

    private void runOne(Decoder decoder, byte[] input, String label) {
        try {
            long before = THREADS.getCurrentThreadAllocatedBytes();
            Outcome outcome = decoder.decode(input);
            long allocated = THREADS.getCurrentThreadAllocatedBytes() - before;
            if (allocated > FIXED_ALLOWANCE_BYTES) {
                // The first rejection of a kind loads classes; only a second run measures the
                // decoder.
                before = THREADS.getCurrentThreadAllocatedBytes();
                decoder.decode(input);
                allocated = THREADS.getCurrentThreadAllocatedBytes() - before;
            }
            checkMemory(allocated - ALLOWANCE_PER_INPUT_BYTE * input.length);
            check(outcome);
        } catch (Exception | AssertionError | StackOverflowError | OutOfMemoryError failure) {
            String hexPrefix =
                    HexFormat.of().formatHex(Arrays.copyOf(input, Math.min(input.length, 400)));
            throw new AssertionError(
                    mName + ", " + label + ", " + input.length + " bytes " + hexPrefix, failure);
        }
    }

    private void check(Outcome outcome) throws Exception {
        if (outcome.rejection() == null) {
            mAccepted++;
            outcome.check().run();
            return;
        }
        mRejected++;
        if (!mRejectionPattern.matcher(outcome.rejection()).find()) {
            throw new AssertionError(
                    "the message names neither position nor field: " + outcome.rejection());
        }
    }

    private void checkMemory(long beyondAllowance) {
        mMaximumBytes = Math.max(mMaximumBytes, beyondAllowance);
        if (beyondAllowance > FIXED_ALLOWANCE_BYTES) {
            throw new AssertionError(
                    beyondAllowance
                            + " bytes allocated beyond the allowance per input byte, allowed "
                            + FIXED_ALLOWANCE_BYTES);
        }
    }
}

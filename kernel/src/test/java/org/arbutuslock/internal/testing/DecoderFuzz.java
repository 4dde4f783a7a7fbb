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

/** Feeds a decoder with random and damaged inputs and checks exceptions, memory and messages. */
public final class DecoderFuzz {
    /** Headers of long strings, binaries, arrays and maps, and deep nesting. */
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

    /** Brackets, numbers and texts at the limits of JSON. */
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

    private static final int INPUTS = 100_000;

    /** Stack traces of rejections and parser buffers, which do not depend on the input. */
    private static final long FIXED_BYTES = 64 << 10;

    private static final long BYTES_PER_INPUT_BYTE = 64;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final String mName;
    private final List<byte[]> mValid;
    private final List<byte[]> mTokens;
    private final Pattern mRejection;
    private int mAccepted;
    private int mRejected;
    private long mMostBytes;

    /**
     * @param rejection what the message of each rejection must contain: a position or a field
     */
    public DecoderFuzz(String name, List<byte[]> valid, List<byte[]> tokens, String rejection) {
        mName = name;
        mValid = valid;
        mTokens = tokens;
        mRejection = Pattern.compile(rejection);
    }

    /** Decodes one input; any exception fails the check. */
    public interface Decoder {
        Outcome decode(byte[] input) throws Exception;
    }

    /** Checks a value that was accepted. */
    public interface Check {
        void run() throws Exception;
    }

    /** A rejection with its message, or an accepted value with a check of it. */
    public record Outcome(String rejection, Check check) {
        public static Outcome rejected(String message) {
            return new Outcome(message, null);
        }

        public static Outcome accepted(Check check) {
            return new Outcome(null, check);
        }
    }

    /** Decodes and encodes one format of bytes. */
    public interface Codec<T> {
        T decode(byte[] bytes) throws Exception;

        byte[] encode(T value);
    }

    /**
     * Runs a codec. What it accepts must be accepted by others once it was encoded again, since
     * nodes pass on what they read.
     */
    public <T> void run(Class<? extends Exception> rejection, Codec<T> codec) {
        run(
                input -> {
                    try {
                        T value = codec.decode(input);
                        return Outcome.accepted(() -> requireStable(codec, value));
                    } catch (Exception failure) {
                        if (rejection.isInstance(failure)) {
                            return Outcome.rejected(failure.getMessage());
                        }
                        throw failure;
                    }
                });
    }

    private static <T> void requireStable(Codec<T> codec, T value) throws Exception {
        byte[] encoded = codec.encode(value);
        if (!Arrays.equals(codec.encode(codec.decode(encoded)), encoded)) {
            throw new AssertionError("the value changes when it is encoded and decoded: " + value);
        }
    }

    public void run(Decoder decoder) {
        long seed = Long.getLong("arbutuslock.seed", 20_261_204L);
        System.out.println("fuzzing " + mName + " arbutuslock.seed=" + seed);
        for (byte[] valid : mValid) {
            requireAccepted(decoder, valid);
        }
        InputMutator mutator = new InputMutator(new SplittableRandom(seed), mValid, mTokens);
        for (int index = 0; index < INPUTS; index++) {
            runOne(decoder, mutator.next(), "seed " + seed + ", input " + index);
        }
        System.out.printf(
                "%s: %d accepted, %d rejected, most memory %d bytes beyond the input's share%n",
                mName, mAccepted, mRejected, mMostBytes);
        if (mRejected == 0) {
            throw new AssertionError(mName + ": no input was rejected");
        }
    }

    private void requireAccepted(Decoder decoder, byte[] valid) {
        try {
            Outcome outcome = decoder.decode(valid);
            if (outcome.rejection() != null) {
                throw new AssertionError(mName + ": valid input: " + outcome.rejection());
            }
            outcome.check().run();
        } catch (Exception failure) {
            throw new AssertionError(mName + ": valid input", failure);
        }
    }

    private void runOne(Decoder decoder, byte[] input, String where) {
        try {
            long before = THREADS.getCurrentThreadAllocatedBytes();
            Outcome outcome = decoder.decode(input);
            long taken = THREADS.getCurrentThreadAllocatedBytes() - before;
            if (taken > FIXED_BYTES) {
                // The first rejection of a kind loads classes; only a repetition shows the decoder.
                before = THREADS.getCurrentThreadAllocatedBytes();
                decoder.decode(input);
                taken = THREADS.getCurrentThreadAllocatedBytes() - before;
            }
            checkMemory(taken - BYTES_PER_INPUT_BYTE * input.length);
            check(outcome);
        } catch (Exception | AssertionError | StackOverflowError | OutOfMemoryError failure) {
            String shown =
                    HexFormat.of().formatHex(Arrays.copyOf(input, Math.min(input.length, 400)));
            throw new AssertionError(
                    mName + ", " + where + ", " + input.length + " bytes " + shown, failure);
        }
    }

    private void check(Outcome outcome) throws Exception {
        if (outcome.rejection() == null) {
            mAccepted++;
            outcome.check().run();
            return;
        }
        mRejected++;
        if (!mRejection.matcher(outcome.rejection()).find()) {
            throw new AssertionError("neither position nor field: " + outcome.rejection());
        }
    }

    private void checkMemory(long beyondShare) {
        mMostBytes = Math.max(mMostBytes, beyondShare);
        if (beyondShare > FIXED_BYTES) {
            throw new AssertionError(
                    beyondShare + " bytes beyond the input's share, allowed " + FIXED_BYTES);
        }
    }
}

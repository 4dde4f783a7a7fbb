package org.arbutuslock.internal.testing;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Generates random inputs, and valid inputs with changed, inserted, deleted or repeated bytes. */
final class InputMutator {
    private static final int MAXIMUM_RANDOM_BYTES = 200;
    private static final int MAXIMUM_RANGE_BYTES = 24;
    private static final int MAXIMUM_REPETITIONS = 2_000;

    private final SplittableRandom mRandom;
    private final List<byte[]> mValidInputs;
    private final List<byte[]> mTokens;

    /**
     * Creates a mutator.
     *
     * @param random source of all choices
     * @param valid inputs to mutate
     * @param tokens byte sequences with a meaning in the format, such as length headers and
     *     brackets, which random bytes rarely form
     */
    InputMutator(SplittableRandom random, List<byte[]> valid, List<byte[]> tokens) {
        mRandom = random;
        mValidInputs = valid;
        mTokens = tokens;
    }

    byte[] next() {
        if (mRandom.nextInt(8) == 0) {
            byte[] bytes = new byte[mRandom.nextInt(MAXIMUM_RANDOM_BYTES)];
            mRandom.nextBytes(bytes);
            return bytes;
        }
        byte[] bytes = choose(mValidInputs);
        int mutations = mRandom.nextInt(4);
        for (int count = 0; count < mutations; count++) {
            bytes = mutate(bytes);
        }
        return bytes;
    }

    private byte[] mutate(byte[] bytes) {
        int position = mRandom.nextInt(bytes.length + 1);
        int end = Math.min(bytes.length, position + 1 + mRandom.nextInt(MAXIMUM_RANGE_BYTES));
        byte[] range = Arrays.copyOfRange(bytes, position, end);
        byte[] token = choose(mTokens);
        return switch (mRandom.nextInt(8)) {
            case 0 -> replace(bytes, position, position, token);
            case 1 -> replace(bytes, position, Math.min(bytes.length, position + 1), token);
            case 2 -> replace(bytes, position, end, new byte[0]);
            case 3 -> replace(bytes, position, position, range);
            case 4 -> replace(bytes, position, position, repeat(token));
            case 5 -> replace(choose(mValidInputs), 0, 0, Arrays.copyOf(bytes, position));
            case 6 -> replace(bytes, position, position, new byte[] {(byte) mRandom.nextInt()});
            default -> changeByte(bytes, position);
        };
    }

    private byte[] changeByte(byte[] bytes, int position) {
        byte[] changed = bytes.clone();
        if (position < changed.length) {
            boolean bit = mRandom.nextBoolean();
            int difference = bit ? 1 << mRandom.nextInt(8) : mRandom.nextInt();
            changed[position] ^= (byte) difference;
        }
        return changed;
    }

    private byte[] repeat(byte[] token) {
        ByteArrayOutputStream repeated = new ByteArrayOutputStream();
        int count = mRandom.nextInt(MAXIMUM_REPETITIONS);
        for (int index = 0; index < count; index++) {
            repeated.writeBytes(token);
        }
        return repeated.toByteArray();
    }

    private static byte[] replace(byte[] bytes, int start, int end, byte[] inserted) {
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        result.write(bytes, 0, start);
        result.writeBytes(inserted);
        result.write(bytes, end, bytes.length - end);
        return result.toByteArray();
    }

    private byte[] choose(List<byte[]> choices) {
        return choices.get(mRandom.nextInt(choices.size()));
    }
}

package org.arbutuslock.testbed.load;

import io.netty.buffer.ByteBuf;
import org.arbutuslock.testbed.backend.EchoBody;

/** Compares a response body with the expected echo chunk by chunk, without buffering the body. */
final class BodyCheck {
    private final byte[] mHead;
    private int mPosition;
    private boolean mWrong;

    BodyCheck(byte[] expectedHead) {
        mHead = expectedHead;
    }

    void accept(ByteBuf content) {
        while (content.isReadable() && !mWrong) {
            byte expected =
                    mPosition < mHead.length ? mHead[mPosition] : EchoBody.patternAt(mPosition);
            mWrong = content.readByte() != expected;
            mPosition++;
        }
    }

    boolean isOwnResponse() {
        return !mWrong && mPosition >= mHead.length;
    }
}

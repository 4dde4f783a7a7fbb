package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The body of a response. Detects a body that breaks off: the response behind it on the connection
 * is then read as the rest of the body.
 */
final class ReceivedBody {
    /** One byte less than the part of a status line that is searched for. */
    static final int KEPT_CHARACTERS = "HTTP/1.1 500".length() - 1;

    private long mBytes;
    private String mEnd = "";
    private boolean mContainsResponse;

    /** Adds the next part of the body. */
    void add(HttpContent part) {
        mBytes += part.content().readableBytes();
        String text = mEnd + part.content().toString(StandardCharsets.ISO_8859_1);
        mContainsResponse |= ResponseHeads.containsStatusLine(text);
        mEnd = text.substring(Math.max(0, text.length() - KEPT_CHARACTERS));
        if (part instanceof LastHttpContent last) {
            for (Map.Entry<String, String> field : last.trailingHeaders()) {
                mContainsResponse |= ResponseHeads.containsStatusLine(field.getValue());
            }
        }
    }

    /** Returns the number of bytes so far. */
    long bytes() {
        return mBytes;
    }

    /** Returns whether the body contains the start of another response. */
    boolean containsResponse() {
        return mContainsResponse;
    }

    /**
     * Returns whether another response starts in the body and continues behind it. A body that
     * merely quotes a status line has nothing behind it.
     *
     * @param following first bytes behind the body, at most {@link #KEPT_CHARACTERS}; empty if
     *     there are none
     */
    boolean isContinuedBy(String following) {
        return !following.isEmpty()
                && (mContainsResponse || ResponseHeads.containsStatusLine(mEnd + following));
    }
}

package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * The body of a response. Detects a body that breaks off: the response behind it on the connection
 * is then read as the rest of the body.
 */
final class ReceivedBody {
    /** One byte less than the part of a status line that is searched for. */
    static final int KEPT_CHARACTERS = "HTTP/1.1 500".length() - 1;

    private final OwnHeadSearch mOwnHead;
    private long mBytes;
    private String mEnd = "";
    private boolean mContainsResponse;

    /**
     * Creates an empty body.
     *
     * @param ownHead tells by its fields whether a head belongs to the response that has this body,
     *     or to a copy of it
     */
    ReceivedBody(Predicate<List<HeaderField>> ownHead) {
        mOwnHead = new OwnHeadSearch(ownHead);
    }

    /** Tells whether a body is whole, by the bytes that follow it on the connection. */
    enum End {
        /** No other response starts in the body. */
        WHOLE,
        /** Another response starts in the body if certain bytes follow. */
        UNDECIDED,
        /** Another response starts in the body and continues behind it. */
        CUT
    }

    /** Adds the next part of the body. */
    void add(HttpContent part) {
        mBytes += part.content().readableBytes();
        String received = part.content().toString(StandardCharsets.ISO_8859_1);
        String text = mEnd + received;
        mContainsResponse |= ResponseHeads.containsStatusLine(text);
        mOwnHead.add(received, text);
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
     * Returns whether the body contains a head that names the same request or the same body as its
     * own head. The body broke off before a copy of the response, which filled it up.
     */
    boolean containsOwnHead() {
        return mOwnHead.isFound();
    }

    /**
     * Decides whether another response starts in the body and continues behind it. A body that
     * merely quotes a status line has nothing behind it.
     *
     * @param following first bytes behind the body, at most {@link #KEPT_CHARACTERS}; empty if
     *     there are none so far
     */
    End end(String following) {
        if (mContainsResponse) {
            return following.isEmpty() ? End.UNDECIDED : End.CUT;
        }
        String text = mEnd + following;
        if (ResponseHeads.containsStatusLine(text)) {
            return End.CUT;
        }
        int startOfLine = ResponseHeads.indexOfOpenStatusLine(text);
        return startOfLine < mEnd.length() ? End.UNDECIDED : End.WHOLE;
    }
}

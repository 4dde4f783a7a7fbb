package org.arbutuslock.daemon.internal.home;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Searches a body for a head of the response that it belongs to. Such a head is that of a copy of
 * the response. It may arrive in several parts. Looks at each character a bounded number of times.
 */
final class OwnHeadSearch {
    private static final int MAXIMUM_HEAD_CHARACTERS = 16 * 1024;
    private static final String LINE_END = "\r\n";

    private final Predicate<List<HeaderField>> mOwnHead;
    // A head in the body of which more may arrive; empty if there is none.
    private String mOpenHead = "";
    private boolean mFound;

    /**
     * Creates a search.
     *
     * @param ownHead tells by its fields whether a head belongs to the response or to a copy of it
     */
    OwnHeadSearch(Predicate<List<HeaderField>> ownHead) {
        mOwnHead = ownHead;
    }

    boolean isFound() {
        return mFound;
    }

    /**
     * Searches the next part of the body.
     *
     * @param received the part
     * @param text the part with the characters before it that can belong to a status line
     */
    void add(String received, String text) {
        if (!mOpenHead.isEmpty()) {
            search(mOpenHead + received);
        } else if (ResponseHeads.containsStatusLine(text)) {
            search(text);
        }
    }

    private void search(String text) {
        mOpenHead = "";
        Matcher statusLines = ResponseHeads.findStatusLines(text);
        int from = 0;
        while (!mFound && mOpenHead.isEmpty() && statusLines.find(from)) {
            from = searchHead(text, statusLines.start(), statusLines.end());
        }
    }

    /** Reads one head; returns the index behind its last line that is whole. */
    private int searchHead(String text, int start, int endOfStatus) {
        List<HeaderField> fields = new ArrayList<>();
        int behind = endOfStatus;
        int end = text.indexOf(LINE_END, endOfStatus);
        while (end >= 0) {
            String line = text.substring(behind, end);
            int colon = line.indexOf(':');
            boolean statusLine = behind == endOfStatus;
            if (!statusLine && colon <= 0) {
                break;
            }
            if (!statusLine) {
                fields.add(
                        new HeaderField(
                                line.substring(0, colon), line.substring(colon + 1).strip()));
            }
            behind = end + LINE_END.length();
            end = text.indexOf(LINE_END, behind);
        }
        mFound = mOwnHead.test(fields);
        if (end < 0 && text.length() - start <= MAXIMUM_HEAD_CHARACTERS) {
            mOpenHead = text.substring(start);
        }
        return behind;
    }
}

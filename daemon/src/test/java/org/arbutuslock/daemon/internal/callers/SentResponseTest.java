package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.arbutuslock.internal.messages.HeaderField;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a response that is composed of two responses with different content. */
public class SentResponseTest {
    private static final List<HeaderField> TEN = List.of(new HeaderField("Content-Length", "10"));

    private SentResponse mSent;

    @BeforeMethod
    public void sendFiveBytes() {
        mSent = new SentResponse(200, TEN);
        mSent.add(bytes("abc"));
        mSent.add(bytes("de"));
    }

    @Test
    public void should_skip_what_was_sent_when_it_agrees() {
        SentResponse.Continuation rest = mSent.continueWith(200, TEN).orElseThrow();
        assertEquals(rest.skipSent(bytes("ab")).orElseThrow(), bytes(""));
        assertFalse(rest.isCompared());
        assertEquals(rest.skipSent(bytes("cdefg")).orElseThrow(), bytes("fg"));
        assertTrue(rest.isCompared());
        assertEquals(rest.skipSent(bytes("hij")).orElseThrow(), bytes("hij"));
    }

    @Test
    public void should_reject_another_beginning() {
        SentResponse.Continuation rest = mSent.continueWith(200, TEN).orElseThrow();
        assertTrue(rest.skipSent(bytes("abcdXfg")).isEmpty());
    }

    @Test
    public void should_reject_another_status_length_or_a_missing_length() {
        List<HeaderField> eleven = List.of(new HeaderField("content-length", "11"));
        assertTrue(mSent.continueWith(500, TEN).isEmpty());
        assertTrue(mSent.continueWith(200, eleven).isEmpty());
        assertTrue(mSent.continueWith(200, List.of()).isEmpty());
        assertFalse(new SentResponse(200, List.of()).isContinuable());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.daemon.internal.exchange.Exchange;
import org.testng.annotations.Test;

/** Guards against memory that grows with the number of slow callers. */
public class ResponseCreditTest {
    private static final int PART = 8 * 1024;
    private static final int RESPONSES = 1_000;

    private final AtomicLong mSum = new AtomicLong();
    private final List<ResponseCredit> mCredits = new ArrayList<>();

    @Test
    public void should_bound_the_sum_over_many_responses_that_nobody_reads() {
        mCredits.clear();
        mSum.set(0);
        for (int index = 0; index < RESPONSES; index++) {
            ResponseCredit credit = new ResponseCredit(mSum);
            mCredits.add(credit);
            while (credit.mayRead()) {
                credit.use(PART);
            }
        }
        long bound =
                ResponseCredit.HIGH_SUM_BYTES
                        + (long) RESPONSES * ResponseCredit.SMALL_WINDOW_BYTES;
        assertTrue(mSum.get() <= bound, mSum + " bytes");
        mCredits.forEach(ResponseCredit::release);
        assertEquals(mSum.get(), 0);
    }

    @Test
    public void should_read_the_whole_window_while_the_sum_is_low() {
        ResponseCredit credit = new ResponseCredit(new AtomicLong());
        int read = 0;
        while (credit.mayRead()) {
            credit.use(PART);
            read += PART;
        }
        assertEquals(read, Exchange.INITIAL_CREDIT_BYTES);
        credit.grant(PART);
        assertTrue(credit.mayRead());
    }

    /** Guards against a caller that reads but gets nothing because of callers that do not. */
    @Test
    public void should_go_on_when_its_own_caller_reads() {
        AtomicLong sum = new AtomicLong(2 * ResponseCredit.HIGH_SUM_BYTES);
        ResponseCredit credit = new ResponseCredit(sum);
        for (int index = 0; index < 100; index++) {
            assertTrue(credit.mayRead());
            credit.use(ResponseCredit.SMALL_WINDOW_BYTES);
            assertFalse(credit.mayRead());
            credit.grant(ResponseCredit.SMALL_WINDOW_BYTES);
        }
        assertEquals(sum.get(), 2 * ResponseCredit.HIGH_SUM_BYTES);
    }
}

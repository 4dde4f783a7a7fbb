package org.arbutuslock.daemon.internal.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.v1.ChangeOutcome;
import org.testng.annotations.Test;

/**
 * Guards against changes that are accepted and never applied, because another program writes the
 * configuration.
 */
public class ReadOnlyConfigurationChangesTest {
    private final ConfigurationHolder mHolder = new ConfigurationHolder();
    private final ReadOnlyConfigurationChanges mChanges =
            new ReadOnlyConfigurationChanges("op/config", mHolder, "node-a");

    @Test
    public void should_refuse_a_change_and_say_where_to_make_it() {
        ChangeOutcome outcome =
                mChanges.apply(
                                new OperatorsBackend.ChangeRequest(
                                        "id", "author", 0, List.of(), Duration.ofSeconds(1)))
                        .join();
        assertTrue(outcome.hasInvalid());
        assertTrue(outcome.getInvalid().getErrors(0).getMessage().contains("op/config"));
    }

    @Test
    public void should_refuse_a_rollback() {
        ChangeOutcome outcome =
                mChanges.rollBack(
                                new OperatorsBackend.RollbackRequest(
                                        "id", "author", 7, 6, Duration.ofSeconds(1)))
                        .join();
        assertEquals(outcome.getInvalid().getErrors(0).getField(), "revision");
    }

    @Test
    public void should_report_a_configuration_once_one_was_read() {
        assertTrue(mChanges.catchUp().join() instanceof Result.Failed<Long>);
        mHolder.apply(Configuration.of(7, List.of(), List.of()));
        assertEquals(mChanges.catchUp().join(), Result.success(7L));
    }

    @Test
    public void should_say_that_there_is_no_history() {
        assertTrue(mChanges.list(0, 10).join() instanceof Result.Failed<?>);
        assertTrue(mChanges.find("id").join().getAbsent().getDefinite());
    }
}

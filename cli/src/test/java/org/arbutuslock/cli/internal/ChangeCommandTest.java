package org.arbutuslock.cli.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.arbutuslock.v1.ChangeInvalid;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.StoreUnavailable;
import org.arbutuslock.v1.ValidationError;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a wrong reported outcome of a change, which a lost request or response, or a
 * refused retry after it, could cause.
 */
public class ChangeCommandTest {
    private static final ChangeOutcome STORE_UNAVAILABLE =
            ChangeOutcome.newBuilder()
                    .setStoreUnavailable(StoreUnavailable.newBuilder().setPeer("127.0.0.1:1"))
                    .build();

    private FakeOperators mNode;

    @BeforeMethod
    void start() throws IOException {
        mNode = new FakeOperators();
    }

    @AfterMethod
    void stop() {
        mNode.close();
    }

    @Test
    public void should_print_id_and_revision_and_wait_until_in_force() {
        CommandRun run = createTenant("--wait");
        assertEquals(run.exitCode(), 0, run.messages());
        assertEquals(
                run.results(),
                "change id "
                        + mNode.mAcceptedChanges.getFirst().getChangeId()
                        + "\naccepted as revision 1\nrevision 1 is in force\n");
        assertTrue(run.messages().contains("revision 1 confirmed by 1 of 2 nodes"));
    }

    @Test
    public void should_accept_once_when_the_response_is_lost() {
        mNode.mScriptedSteps.add(new FakeOperators.Step.LoseResponse());
        CommandRun run = createTenant();
        assertEquals(run.exitCode(), 0, run.messages());
        assertEquals(mNode.mReceivedIds.size(), 2);
        assertEquals(Set.copyOf(mNode.mReceivedIds).size(), 1);
        assertEquals(mNode.mAcceptedChanges.size(), 1);
    }

    @Test
    public void should_find_acceptance_when_a_retry_is_refused() {
        mNode.mScriptedSteps.add(new FakeOperators.Step.LoseResponse());
        mNode.mScriptedSteps.add(new FakeOperators.Step.Respond(STORE_UNAVAILABLE));
        assertEquals(createTenant().exitCode(), 0);
    }

    @Test
    public void should_report_unknown_when_no_retry_can_determine_the_outcome_of_a_lost_request() {
        mNode.mScriptedSteps.add(new FakeOperators.Step.LoseRequest());
        for (int attempt = 0; attempt < 100; attempt++) {
            mNode.mScriptedSteps.add(new FakeOperators.Step.Respond(STORE_UNAVAILABLE));
        }
        CommandRun run = createTenant();
        assertEquals(run.exitCode(), 5, run.results());
        assertTrue(
                run.results().contains("run: arbutuslock outcome " + mNode.mReceivedIds.getFirst()),
                run.results());
    }

    @Test
    public void should_report_a_refusal_without_earlier_attempt_as_definite() {
        mNode.mScriptedSteps.add(new FakeOperators.Step.Respond(STORE_UNAVAILABLE));
        assertEquals(createTenant().exitCode(), 4);
        ValidationError.Builder first = ValidationError.newBuilder().setField("field-one");
        ValidationError.Builder second = ValidationError.newBuilder().setField("field-two");
        mNode.mScriptedSteps.add(
                new FakeOperators.Step.Respond(
                        ChangeOutcome.newBuilder()
                                .setInvalid(
                                        ChangeInvalid.newBuilder()
                                                .addErrors(first)
                                                .addErrors(second))
                                .build()));
        CommandRun run = createTenant();
        assertEquals(run.exitCode(), 1);
        assertTrue(run.results().contains("field-one") && run.results().contains("field-two"));
    }

    @Test
    public void should_name_the_author_and_change_that_won_a_conflict() {
        mNode.append("id-of-ann", "ann", List.of());
        mNode.mScriptedSteps.add(new FakeOperators.Step.LoseRequest());
        // Bob's change is accepted after the command has read revision 1 and before it retries.
        CommandRun run = createTenantDuring(() -> mNode.append("id-of-bob", "bob", List.of()));
        assertEquals(run.exitCode(), 3, run.results());
        assertTrue(run.results().contains("bob made change id-of-bob first"), run.results());
        assertTrue(run.results().contains("revision 1, but the current revision is 2"));
    }

    @Test
    public void should_refuse_to_create_twice_and_to_change_nothing() {
        createTenant();
        assertEquals(createTenant().exitCode(), 1);
        assertEquals(run("tenant", "change", "blue", "--weight", "3").exitCode(), 2);
        assertEquals(run("tenant", "change", "green", "--weight", "3").exitCode(), 1);
        assertEquals(run("tenant", "delete", "blue").exitCode(), 0);
        assertEquals(mNode.entities().size(), 0);
    }

    @Test
    public void should_print_one_json_document() throws IOException {
        CommandRun run = createTenant("--output", "json");
        assertEquals(
                new com.fasterxml.jackson.databind.ObjectMapper()
                        .readTree(run.results())
                        .at("/outcome/accepted/revision")
                        .asInt(),
                1);
    }

    @Test
    public void should_map_drain_outcomes_to_exit_codes() {
        assertEquals(run("drain", "server-1").exitCode(), 0);
        mNode.mDrainOutcome = DrainOutcome.DRAIN_OUTCOME_REFUSED_BY_FLOOR;
        assertEquals(run("drain", "server-1").exitCode(), 1);
        mNode.mDrainOutcome = DrainOutcome.DRAIN_OUTCOME_UNKNOWN;
        assertEquals(run("drain", "server-1").exitCode(), 5);
    }

    @Test
    public void should_name_the_address_of_an_unreachable_node() {
        String address = mNode.address();
        mNode.close();
        CommandRun run = CommandRun.of(address, "", "tenant", "create", "blue", "--weight", "3");
        assertEquals(run.exitCode(), 4, run.messages());
        assertTrue(run.messages().contains(address), run.messages());
    }

    private CommandRun createTenantDuring(Runnable other) {
        mNode.mBeforeLostRequest = other;
        return createTenant();
    }

    private CommandRun createTenant(String... options) {
        List<String> arguments =
                new java.util.ArrayList<>(List.of("tenant", "create", "blue", "--weight", "3"));
        arguments.addAll(List.of(options));
        return run(arguments.toArray(String[]::new));
    }

    private CommandRun run(String... arguments) {
        return CommandRun.of(mNode.address(), "", arguments);
    }
}

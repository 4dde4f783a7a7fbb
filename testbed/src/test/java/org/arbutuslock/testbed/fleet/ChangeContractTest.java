package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.ChangeConflict;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.Route;
import org.arbutuslock.v1.Service;
import org.arbutuslock.v1.Tenant;
import org.arbutuslock.v1.ValidationError;
import org.arbutuslock.v1.WorkClass;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against a configuration change that is accepted twice when an operator repeats it, and
 * against a node that reports another outcome than the change had.
 */
public class ChangeContractTest {
    private static final String NODE = "calgary-a-1";
    private static final int ROUTES = 3_000;

    private InProcessFleet mFleet;
    private ManagedChannel mChannel;
    private OperatorsGrpc.OperatorsBlockingStub mOperators;

    @BeforeClass
    public void startNode() throws Exception {
        mFleet = InProcessFleet.start(4);
        mFleet.addNode(NODE, "west-prairie", "calgary-a");
        InetSocketAddress address = mFleet.settings(NODE).operators().address();
        mChannel = NettyChannelBuilder.forAddress(address).usePlaintext().build();
        mOperators = OperatorsGrpc.newBlockingStub(mChannel);
        assertEquals(apply("setup", 0, List.of(service(1))).getAccepted().getRevision(), 1);
    }

    @AfterClass(alwaysRun = true)
    public void stopNode() {
        mChannel.shutdownNow();
        mFleet.close();
    }

    /**
     * The second submission has an invalid base revision and invalid content. The node must return
     * the first result without validating them.
     */
    @Test
    public void should_return_the_revision_of_an_id_that_was_accepted_before() {
        ChangeOutcome again = apply("setup", 77, List.of(service(-1)));
        assertEquals(again.getAccepted().getRevision(), 1, again.toString());
        GetChangeResponse found = find("setup");
        assertEquals(found.getAccepted().getChangeId(), "setup");
        assertEquals(found.getAccepted().getAuthor(), "ada");
    }

    @Test
    public void should_name_the_winner_of_a_conflict_and_never_accept_the_loser() {
        ChangeConflict conflict = apply("late", 0, List.of(service(2))).getConflict();
        assertEquals(conflict.getWinningChangeId(), "setup");
        assertEquals(conflict.getWinningAuthor(), "ada");
        assertTrue(find("late").getAbsent().getDefinite());
        // This id was never submitted, so it can still be accepted and its absence is not definite.
        assertTrue(find("absent").hasAbsent());
        assertFalse(find("absent").getAbsent().getDefinite());
    }

    @Test
    public void should_show_the_field_and_the_value_that_the_operator_sent() {
        Tenant tenant = Tenant.newBuilder().setName("team-7").setWeight(-2).build();
        Operation put = put(Entity.newBuilder().setTenant(tenant).build());
        ValidationError error = apply("heavy", 1, List.of(put)).getInvalid().getErrors(0);
        assertEquals(error.getField(), "operations[0].put.tenant.weight");
        assertEquals(error.getValue(), "4294967294");
    }

    @Test
    public void should_refuse_a_change_that_exceeds_the_value_size_limit() {
        List<Operation> routes =
                IntStream.range(0, ROUTES).mapToObj(ChangeContractTest::longRoute).toList();
        ChangeOutcome outcome = apply("large", 1, routes);
        assertTrue(outcome.toString().contains("split the change"), "" + outcome.getOutcomeCase());
        assertFalse(find("large").hasAccepted());
    }

    private ChangeOutcome apply(String id, long base, List<Operation> operations) {
        return mOperators
                .applyChange(
                        ApplyChangeRequest.newBuilder()
                                .setChangeId(id)
                                .setAuthor("ada")
                                .setBaseRevision(base)
                                .addAllOperations(operations)
                                .build())
                .getOutcome();
    }

    private GetChangeResponse find(String id) {
        return mOperators.getChange(GetChangeRequest.newBuilder().setChangeId(id).build());
    }

    private static Operation service(int slots) {
        return put(
                Entity.newBuilder()
                        .setService(
                                Service.newBuilder()
                                        .setName("order-hub")
                                        .setFloorEndpoints(1)
                                        .setExpectedEndpoints(1)
                                        .setSlotsPerEndpoint(slots))
                        .build());
    }

    private static Operation longRoute(int number) {
        String path = "/" + number + "/" + String.join("", Collections.nCopies(400, "a"));
        return put(
                Entity.newBuilder()
                        .setRoute(
                                Route.newBuilder()
                                        .setName("route-" + number)
                                        .setPath(path)
                                        .setService("order-hub")
                                        .setWorkClass(WorkClass.WORK_CLASS_SHORT)
                                        .setDeadlineMillis(100))
                        .build());
    }

    private static Operation put(Entity entity) {
        return Operation.newBuilder().setPut(entity).build();
    }
}

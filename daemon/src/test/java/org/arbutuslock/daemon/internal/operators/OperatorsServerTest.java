package org.arbutuslock.daemon.internal.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetConfigurationRequest;
import org.arbutuslock.v1.GetConfigurationResponse;
import org.arbutuslock.v1.HistoryRequest;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;
import org.arbutuslock.v1.Service;
import org.arbutuslock.v1.WatchRevisionRequest;
import org.arbutuslock.v1.WatchRevisionResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against invalid requests that reach the backend because a field was not checked, and
 * against errors that do not tell the operator what to correct.
 */
public class OperatorsServerTest {
    private FakeBackend mBackend;
    private OperatorsServer mServer;
    private ManagedChannel mChannel;
    private OperatorsBlockingStub mStub;

    @BeforeMethod
    void start() {
        mBackend = new FakeBackend();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mServer =
                switch (OperatorsServer.start(address, Optional.empty(), mBackend)) {
                    case Result.Success<OperatorsServer>(OperatorsServer server) -> server;
                    case Result.Failed<OperatorsServer>(var failure) ->
                            throw new AssertionError(failure);
                };
        mChannel =
                NettyChannelBuilder.forAddress("127.0.0.1", mServer.port()).usePlaintext().build();
        mStub = OperatorsGrpc.newBlockingStub(mChannel).withDeadlineAfter(10, TimeUnit.SECONDS);
    }

    @AfterMethod
    void stop() {
        mChannel.shutdownNow();
        mServer.stop(Duration.ofSeconds(1));
    }

    @Test
    public void should_refuse_other_than_loopback_addresses_without_tls() {
        Result<OperatorsServer> result =
                OperatorsServer.start(
                        new InetSocketAddress("0.0.0.0", 0), Optional.empty(), mBackend);
        assertTrue(result instanceof Result.Failed, result.toString());
    }

    @Test
    public void should_name_every_wrong_field_of_a_request() {
        ApplyChangeRequest request =
                ApplyChangeRequest.newBuilder()
                        .setChangeId("under_score")
                        .setAuthor("ann")
                        .setBaseRevision(-1)
                        .addOperations(
                                Operation.newBuilder()
                                        .setPut(
                                                Entity.newBuilder()
                                                        .setService(Service.getDefaultInstance())))
                        .addOperations(Operation.getDefaultInstance())
                        .build();
        Status status = failureOf(() -> mStub.applyChange(request));
        assertEquals(status.getCode(), Status.Code.INVALID_ARGUMENT);
        assertEquals(
                status.getDescription(),
                "change_id is \"under_score\", allowed is 1 to 64 letters, digits and hyphens;"
                        + " base_revision is \"18446744073709551615\", allowed is 0 to"
                        + " 9223372036854775807;"
                        + " operations[0].put.service.floor is \"\", allowed is floor_endpoints"
                        + " or floor_percent;"
                        + " operations[1] is \"\", allowed is put or delete");
        assertEquals(mBackend.mChanges, List.of());
    }

    @Test
    public void should_pass_the_deadline_of_the_caller_to_a_change() {
        ServiceDefinition service = new ServiceDefinition("orders", new Floor.Share(75), 14, 3, 10);
        mStub.applyChange(
                ApplyChangeRequest.newBuilder()
                        .setChangeId("id-1")
                        .setAuthor("ann")
                        .addOperations(
                                Operation.newBuilder().setPut(EntityConverter.toEntity(service)))
                        .build());
        OperatorsBackend.ChangeRequest change = mBackend.mChanges.getFirst();
        assertEquals(change.author(), "ann");
        assertTrue(change.timeout().compareTo(Duration.ofSeconds(10)) < 0);
        assertEquals(
                EntityConverter.toDefinition(change.operations().getFirst().getPut().getService()),
                service);
    }

    @Test
    public void should_convert_routes_without_loss() {
        RouteDefinition route =
                new RouteDefinition(
                        "create",
                        "host",
                        "POST",
                        "/orders",
                        true,
                        Map.of("a", "b"),
                        "orders",
                        WorkClass.LONG,
                        true,
                        2_000,
                        5);
        Entity entity = EntityConverter.toEntity(route);
        assertEquals(EntityConverter.toDefinition(entity.getRoute()), route);
        assertThrows(
                IllegalArgumentException.class,
                () -> EntityConverter.toDefinition(Service.getDefaultInstance()));
    }

    @Test
    public void should_page_through_the_configuration() {
        GetConfigurationRequest.Builder request =
                GetConfigurationRequest.newBuilder().setKind(EntityKind.ENTITY_KIND_TENANT);
        GetConfigurationResponse first = mStub.getConfiguration(request.build());
        assertEquals(first.getNextPageToken(), "blue");
        GetConfigurationResponse second =
                mStub.getConfiguration(request.setPageToken("blue").setPageSize(9).build());
        assertEquals(second.getNextPageToken(), "");
        assertEquals(
                mBackend.mCalls,
                List.of(
                        "listEntities ENTITY_KIND_TENANT  200",
                        "listEntities ENTITY_KIND_TENANT blue 9"));
    }

    @Test
    public void should_end_the_stream_once_the_revision_is_in_force() {
        Iterator<WatchRevisionResponse> progress =
                mStub.watchRevision(WatchRevisionRequest.newBuilder().setRevision(3).build());
        int confirmed = 0;
        WatchRevisionResponse last = WatchRevisionResponse.getDefaultInstance();
        while (progress.hasNext()) {
            last = progress.next();
            assertTrue(last.getNodesConfirmed() > confirmed);
            confirmed = last.getNodesConfirmed();
        }
        assertTrue(last.getInForce());
        assertEquals(confirmed, FakeBackend.NODES);
    }

    @Test
    public void should_tell_unavailability_from_a_fault_in_the_node() {
        Status unavailable = failureOf(() -> mStub.history(HistoryRequest.getDefaultInstance()));
        assertEquals(unavailable.getCode(), Status.Code.UNAVAILABLE);
        assertEquals(
                unavailable.getDescription(),
                "list changes failed at store 127.0.0.1:1: the store is unavailable");
        Status fault =
                failureOf(
                        () ->
                                mStub.getChange(
                                        GetChangeRequest.newBuilder().setChangeId("id-1").build()));
        assertEquals(fault.getCode(), Status.Code.INTERNAL);
    }

    private static Status failureOf(Runnable call) {
        try {
            call.run();
        } catch (StatusRuntimeException failed) {
            return failed.getStatus();
        }
        throw new AssertionError("the call succeeded");
    }
}

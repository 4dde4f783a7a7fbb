package org.arbutuslock.daemon.internal.operators;

import static org.testng.Assert.assertEquals;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.internal.settings.NodeSettings.Role;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.DrainRequest;
import org.arbutuslock.v1.GetStatusRequest;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.OperatorsGrpc.OperatorsBlockingStub;
import org.arbutuslock.v1.RollbackRequest;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against calls beyond the role of a client certificate, which a missing check of a method
 * or an outdated trust file would allow.
 */
public class OperatorsTlsTest {
    private static final List<String> NAMES =
            List.of("node", "renewed", "ann", "bob", "carol", "mallory");

    private final FakeBackend mBackend = new FakeBackend();
    private TestCertificates mCertificates;
    private NodeSettings.Tls mFiles;
    private OperatorsServer mServer;

    @BeforeClass
    void start() throws Exception {
        Path directory = Files.createTempDirectory("certificates");
        mCertificates = new TestCertificates(directory);
        for (String name : NAMES) {
            mCertificates.create(name);
        }
        mFiles =
                new NodeSettings.Tls(
                        copy("node", "server.pem", mCertificates.certificate("node")),
                        copy("node", "server-key.pem", mCertificates.key("node")),
                        mCertificates.trust("trust.pem", List.of("ann", "bob", "carol")),
                        Map.of("ann", Role.OPERATOR, "bob", Role.VIEWER));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
        mServer =
                switch (OperatorsServer.start(address, Optional.of(mFiles), mBackend)) {
                    case Result.Success<OperatorsServer>(OperatorsServer server) -> server;
                    case Result.Failed<OperatorsServer>(var failure) ->
                            throw new AssertionError(failure);
                };
    }

    @AfterClass
    void stop() {
        mServer.stop(Duration.ofSeconds(1));
    }

    @Test
    public void should_allow_reading_to_viewers_and_changes_to_operators() throws IOException {
        assertEquals(call("bob", "node", OperatorsTlsTest::read), Status.Code.OK);
        assertEquals(call("bob", "node", OperatorsTlsTest::change), Status.Code.PERMISSION_DENIED);
        assertEquals(call("bob", "node", OperatorsTlsTest::drain), Status.Code.PERMISSION_DENIED);
        assertEquals(
                call("bob", "node", OperatorsTlsTest::rollBack), Status.Code.PERMISSION_DENIED);
        assertEquals(mBackend.mChanges, List.of());
        assertEquals(mBackend.mCalls, List.of());
        assertEquals(call("ann", "node", OperatorsTlsTest::change), Status.Code.OK);
        assertEquals(mBackend.mChanges.getFirst().author(), "ann");
    }

    @Test
    public void should_refuse_unknown_names_and_untrusted_certificates() throws IOException {
        assertEquals(call("carol", "node", OperatorsTlsTest::read), Status.Code.PERMISSION_DENIED);
        assertEquals(call("mallory", "node", OperatorsTlsTest::read), Status.Code.UNAVAILABLE);
    }

    // Runs after the other tests, since it replaces the certificates that they use.
    @Test(
            dependsOnMethods = {
                "should_allow_reading_to_viewers_and_changes_to_operators",
                "should_refuse_unknown_names_and_untrusted_certificates"
            })
    public void should_use_changed_files_and_keep_the_earlier_ones_when_they_do_not_match()
            throws IOException {
        copy("renewed", "server.pem", mCertificates.certificate("renewed"));
        mServer.reloadTlsFiles();
        assertEquals(call("bob", "node", OperatorsTlsTest::read), Status.Code.OK);
        copy("renewed", "server-key.pem", mCertificates.key("renewed"));
        mCertificates.trust("trust.pem", List.of("ann"));
        mServer.reloadTlsFiles();
        assertEquals(call("ann", "node", OperatorsTlsTest::read), Status.Code.UNAVAILABLE);
        assertEquals(call("ann", "renewed", OperatorsTlsTest::read), Status.Code.OK);
        assertEquals(call("bob", "renewed", OperatorsTlsTest::read), Status.Code.UNAVAILABLE);
    }

    private Path copy(String name, String target, Path source) throws IOException {
        Path path = mCertificates.certificate(name).resolveSibling(target);
        return Files.copy(source, path, StandardCopyOption.REPLACE_EXISTING);
    }

    private Status.Code call(String client, String server, Consumer<OperatorsBlockingStub> method)
            throws IOException {
        SslContextBuilder builder =
                SslContextBuilder.forClient()
                        .keyManager(
                                mCertificates.certificate(client).toFile(),
                                mCertificates.key(client).toFile())
                        .trustManager(mCertificates.certificate(server).toFile());
        ManagedChannel channel =
                NettyChannelBuilder.forAddress("127.0.0.1", mServer.port())
                        .sslContext(GrpcSslContexts.configure(builder, SslProvider.JDK).build())
                        .build();
        try {
            method.accept(
                    OperatorsGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS));
            return Status.Code.OK;
        } catch (StatusRuntimeException failed) {
            return failed.getStatus().getCode();
        } finally {
            channel.shutdownNow();
        }
    }

    private static void read(OperatorsBlockingStub stub) {
        stub.getStatus(GetStatusRequest.getDefaultInstance());
    }

    private static void drain(OperatorsBlockingStub stub) {
        stub.drain(DrainRequest.newBuilder().setBackendServer("server-1").build());
    }

    private static void rollBack(OperatorsBlockingStub stub) {
        stub.rollback(RollbackRequest.newBuilder().setChangeId("id-2").setAuthor("bob").build());
    }

    private static void change(OperatorsBlockingStub stub) {
        Operation.Builder operation =
                Operation.newBuilder()
                        .setPut(
                                EntityConverter.toEntity(
                                        new org.arbutuslock.api.TenantDefinition("blue", 2)));
        stub.applyChange(
                ApplyChangeRequest.newBuilder()
                        .setChangeId("id-1")
                        .setAuthor("someone-else")
                        .addOperations(operation)
                        .build());
    }
}

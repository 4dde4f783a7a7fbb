package org.arbutuslock.daemon.internal.operators;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.eventloops.RepeatedTask;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * The gRPC server for operators. It uses mutual TLS and roles, or no TLS on a loopback address.
 *
 * <pre>{@code
 * Result<OperatorsServer> result =
 *         OperatorsServer.start(settings.operators().address(), settings.tls(), backend);
 * }</pre>
 */
public final class OperatorsServer {
    private static final int MAXIMUM_MESSAGE_BYTES = 4 << 20;
    private static final int MAXIMUM_METADATA_BYTES = 16 << 10;
    private static final int MAXIMUM_CALLS_PER_CONNECTION = 64;
    private static final int THREADS = 4;
    private static final long HANDSHAKE_SECONDS = 10;
    private static final long IDLE_MINUTES = 10;

    /**
     * Bounds how long a client can use a certificate that has expired or is no longer trusted,
     * since certificates are checked only when a connection is opened.
     */
    private static final long MAXIMUM_CONNECTION_MINUTES = 60;

    private static final long RELOAD_PERIOD_SECONDS = 5;

    private final Server mServer;
    private final ExecutorService mExecutor;
    private final ScheduledExecutorService mScheduler;
    private final Optional<ReloadingTls> mTls;

    private OperatorsServer(
            Server server,
            ExecutorService executor,
            ScheduledExecutorService scheduler,
            Optional<ReloadingTls> tls) {
        mServer = server;
        mExecutor = executor;
        mScheduler = scheduler;
        mTls = tls;
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on; a loopback address unless TLS is configured
     * @param tls certificate files and roles, or empty for no TLS
     * @param backend carries out the calls
     * @return the running server, or the reason why it could not start
     */
    public static Result<OperatorsServer> start(
            InetSocketAddress address, Optional<NodeSettings.Tls> tls, OperatorsBackend backend) {
        if (tls.isEmpty() && !address.getAddress().isLoopbackAddress()) {
            return Result.failed(
                    "listen for operators",
                    address.toString(),
                    "without tls the address must be a loopback address; set tls, or change"
                            + " operators.address");
        }
        EventLogger logger = EventLogger.forComponent("operators");
        Optional<ReloadingTls> certificates = Optional.empty();
        try {
            if (tls.isPresent()) {
                certificates = Optional.of(ReloadingTls.load(tls.get(), logger));
            }
            return Result.success(listen(address, tls, certificates, backend, logger));
        } catch (GeneralSecurityException unusable) {
            return Result.failed(
                    "load tls files",
                    address.toString(),
                    unusable.getMessage() + "; correct the files that are set in tls");
        } catch (IOException failed) {
            return Result.failed(
                    "listen for operators",
                    address.toString(),
                    describe(failed)
                            + "; check operators.address and the files that are set in tls");
        }
    }

    private static OperatorsServer listen(
            InetSocketAddress address,
            Optional<NodeSettings.Tls> tls,
            Optional<ReloadingTls> certificates,
            OperatorsBackend backend,
            EventLogger logger)
            throws IOException {
        ExecutorService executor =
                Executors.newFixedThreadPool(
                        THREADS, Thread.ofPlatform().daemon().name("operators-", 0).factory());
        ScheduledExecutorService scheduler =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("operators-timer").factory());
        NettyServerBuilder builder =
                NettyServerBuilder.forAddress(address)
                        .executor(executor)
                        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                        .maxInboundMetadataSize(MAXIMUM_METADATA_BYTES)
                        .maxConcurrentCallsPerConnection(MAXIMUM_CALLS_PER_CONNECTION)
                        .handshakeTimeout(HANDSHAKE_SECONDS, TimeUnit.SECONDS)
                        .maxConnectionIdle(IDLE_MINUTES, TimeUnit.MINUTES)
                        .maxConnectionAge(MAXIMUM_CONNECTION_MINUTES, TimeUnit.MINUTES)
                        .addService(new OperatorsService(backend, scheduler, logger));
        try {
            if (certificates.isPresent()) {
                builder.sslContext(certificates.get().createServerContext())
                        .intercept(new RoleInterceptor(tls.orElseThrow().roles(), logger));
            }
            Server server = builder.build().start();
            certificates.ifPresent(files -> scheduleReload(files, scheduler));
            logger.log(Event.OPERATORS_LISTENING, server.getListenSockets(), tls.isPresent());
            return new OperatorsServer(server, executor, scheduler, certificates);
        } catch (IOException failed) {
            executor.shutdownNow();
            scheduler.shutdownNow();
            throw failed;
        }
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the bound port; never 0, even if the address has port 0
     */
    public int port() {
        return mServer.getPort();
    }

    /** Loads changed TLS files at once; the server also checks them every 5 s. */
    public void reloadTlsFiles() {
        mTls.ifPresent(ReloadingTls::reloadIfChanged);
    }

    /**
     * Stops accepting calls, waits for the calls in progress and cancels those that remain.
     *
     * @param grace maximum time to wait for the calls in progress
     */
    public void stop(Duration grace) {
        mServer.shutdown();
        try {
            if (!mServer.awaitTermination(grace.toMillis(), TimeUnit.MILLISECONDS)) {
                mServer.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            mServer.shutdownNow();
            Thread.currentThread().interrupt();
        }
        mScheduler.shutdownNow();
        mExecutor.shutdown();
    }

    private static void scheduleReload(ReloadingTls files, ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                new RepeatedTask("certificates", files::reloadIfChanged),
                RELOAD_PERIOD_SECONDS,
                RELOAD_PERIOD_SECONDS,
                TimeUnit.SECONDS);
    }

    private static String describe(IOException failed) {
        return failed.getCause() == null ? failed.toString() : failed.getCause().toString();
    }
}

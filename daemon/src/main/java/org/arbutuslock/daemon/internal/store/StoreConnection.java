package org.arbutuslock.daemon.internal.store;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Holds the only channel to the store and replaces it after a failure. A channel is discarded on
 * its first connection failure, so that gRPC's own reconnection is not used. Thread-safe.
 */
final class StoreConnection {
    // A list page has up to 4 MiB of values; the rest is for keys and message framing.
    private static final int MAXIMUM_RESPONSE_BYTES = 6 << 20;

    // An open connection can stop delivering data permanently. It is replaced after this many
    // consecutive timeouts without a response.
    private static final int TIMEOUTS_BEFORE_REPLACEMENT = 3;

    private final StoreClientSettings mSettings;
    private final ReconnectBackoff mBackoff;
    private final Executor mExecutor;
    private final EventLogger mLogger = EventLogger.forComponent("store");
    private ManagedChannel mChannel;
    private int mTimeoutsInRow;
    private boolean mFailing;
    private boolean mClosed;

    StoreConnection(StoreClientSettings settings, ReconnectBackoff backoff, Executor executor) {
        mSettings = settings;
        mBackoff = backoff;
        mExecutor = executor;
    }

    /** Returns the channel, which it opens if necessary; empty during back-off and after close. */
    synchronized Optional<ManagedChannel> acquire() {
        if (mClosed) {
            return Optional.empty();
        }
        if (mChannel == null && mBackoff.mayConnect()) {
            mChannel = openChannel();
        }
        return Optional.ofNullable(mChannel);
    }

    synchronized void recordSuccess(ManagedChannel channel) {
        if (channel != mChannel) {
            return;
        }
        mTimeoutsInRow = 0;
        mBackoff.recordSuccess();
        if (mFailing) {
            mFailing = false;
            mLogger.log(Event.STORE_CONNECTED, mSettings.address());
        }
    }

    /** Discards a channel whose connection failed. Calls in progress on it fail. */
    synchronized void recordFailure(ManagedChannel channel, String reason) {
        if (channel == mChannel) {
            discardChannel(reason);
            channel.shutdownNow();
        }
    }

    synchronized void recordTimeout(ManagedChannel channel) {
        if (channel != mChannel) {
            return;
        }
        mTimeoutsInRow++;
        if (mTimeoutsInRow >= TIMEOUTS_BEFORE_REPLACEMENT) {
            replace(channel, mTimeoutsInRow + " consecutive calls got no response");
        }
    }

    /** Discards a channel that delivers no data. Calls in progress on it may still finish. */
    synchronized void replace(ManagedChannel channel, String reason) {
        if (channel == mChannel) {
            discardChannel(reason);
            channel.shutdown();
        }
    }

    synchronized void close() {
        mClosed = true;
        if (mChannel != null) {
            mChannel.shutdownNow();
            mChannel = null;
        }
    }

    private void discardChannel(String reason) {
        mChannel = null;
        mTimeoutsInRow = 0;
        mBackoff.recordFailure();
        if (!mFailing) {
            mFailing = true;
            mLogger.log(Event.STORE_DISCONNECTED, mSettings.address(), reason);
        }
    }

    private ManagedChannel openChannel() {
        return NettyChannelBuilder.forAddress(mSettings.address())
                .usePlaintext()
                .disableRetry()
                .proxyDetector(address -> null)
                .maxInboundMessageSize(MAXIMUM_RESPONSE_BYTES)
                .executor(mExecutor)
                .build();
    }
}

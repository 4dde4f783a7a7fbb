package org.arbutuslock.daemon.internal.callers;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last response. First ends the direction to the caller and reads on
 * for a short time: a connection that is closed with unread data is reset, and a reset can destroy
 * the response before the caller has read it (RFC 9112, section 9.6).
 */
final class LingeringClose implements ChannelFutureListener {
    private static final long READ_MILLIS = 1_000;

    @Override
    public void operationComplete(ChannelFuture written) {
        Channel channel = written.channel();
        if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        channel.config().setAutoRead(true);
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), READ_MILLIS, TimeUnit.MILLISECONDS);
    }
}

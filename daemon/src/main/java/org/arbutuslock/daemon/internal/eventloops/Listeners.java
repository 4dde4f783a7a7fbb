package org.arbutuslock.daemon.internal.eventloops;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

/** Binds the listeners of a node. */
public final class Listeners {
    private Listeners() {}

    /**
     * Binds an address; blocks until it is bound.
     *
     * @param bootstrap options and handlers of the listener
     * @param address address to listen on; port 0 chooses a free port
     * @return the bound channel
     * @throws UncheckedIOException if the address cannot be bound; the message names it. The method
     *     of Netty that waits for the channel throws checked exceptions without declaring them.
     */
    public static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) {
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String reason = "cannot listen on " + address + ": " + bound.cause().getMessage();
            throw new UncheckedIOException(reason, new IOException(reason, bound.cause()));
        }
        return bound.channel();
    }
}

package org.arbutuslock.cli.internal;

import io.grpc.ManagedChannel;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import org.arbutuslock.cli.internal.CommonOptions.TlsFiles;

/** Creates the gRPC channel to a node, with TLS if the options name TLS files. */
final class ChannelFactory {
    private static final int MAXIMUM_MESSAGE_BYTES = 4 << 20;

    private ChannelFactory() {}

    static ManagedChannel open(CommonOptions options) throws CommandException {
        NettyChannelBuilder builder =
                NettyChannelBuilder.forAddress(options.address())
                        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                        .disableRetry();
        if (options.tls().isEmpty()) {
            return builder.usePlaintext().build();
        }
        return builder.sslContext(createSslContext(options.tls().get())).build();
    }

    private static SslContext createSslContext(TlsFiles files) throws CommandException {
        try {
            SslContextBuilder builder =
                    SslContextBuilder.forClient()
                            .keyManager(files.certificate().toFile(), files.key().toFile())
                            .trustManager(files.trust().toFile());
            return GrpcSslContexts.configure(builder, SslProvider.JDK).build();
        } catch (IOException | IllegalArgumentException unreadable) {
            Throwable cause = unreadable.getCause() == null ? unreadable : unreadable.getCause();
            throw new CommandException(
                    ExitCode.USAGE,
                    "the TLS files "
                            + files.certificate()
                            + ", "
                            + files.key()
                            + " and "
                            + files.trust()
                            + " cannot be used: "
                            + cause.getMessage()
                            + "; give PEM files of a certificate chain, its unencrypted PKCS #8"
                            + " key and the trusted authorities");
        }
    }
}

package org.arbutuslock.daemon.internal.store;

import io.grpc.Attributes;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;

/**
 * Records whether gRPC assigned a call to a connection. A call that fails earlier did not reach the
 * store. After that point, bytes may have been sent, whichever status the call ends with.
 */
final class SendTracker extends ClientStreamTracer.Factory {
    private volatile boolean mHandedToConnection;

    boolean mayHaveReachedStore() {
        return mHandedToConnection;
    }

    @Override
    public ClientStreamTracer newClientStreamTracer(
            ClientStreamTracer.StreamInfo info, Metadata headers) {
        return new ClientStreamTracer() {
            @Override
            public void streamCreated(Attributes transportAttributes, Metadata sentHeaders) {
                mHandedToConnection = true;
            }
        };
    }
}

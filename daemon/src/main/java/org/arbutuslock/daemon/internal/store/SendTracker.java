package org.arbutuslock.daemon.internal.store;

import io.grpc.Attributes;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;

/**
 * Records whether a call was ever handed to a connection. A call that fails before that certainly
 * never reached the store. After that, bytes may have been sent, whatever the status says.
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

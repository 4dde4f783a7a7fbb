package org.arbutuslock.daemon.internal.callers;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Holds the response of a request until the responses of earlier requests on its connection are
 * written. While the held bytes of the connection are at their limit, no more of this response is
 * read. Confined to the event loop of the caller's connection.
 */
final class OrderedResponseWriter implements ResponseWriter {
    private final ResponseWriter mConnection;
    private final HeldBytes mHeldBytes;
    private final Runnable mOnAbort;
    private final Queue<Runnable> mHeldWrites = new ArrayDeque<>();
    private final Queue<Runnable> mHeldCallbacks = new ArrayDeque<>();
    private long mOwnHeldBytes;
    private boolean mHasTurn;

    /**
     * Creates a writer that holds everything until {@link #takeTurn}.
     *
     * @param connection writes to the connection
     * @param heldBytes held bytes of all responses of the connection
     * @param onAbort called when the response is aborted; the connection itself is aborted when the
     *     turn of the response has come
     */
    OrderedResponseWriter(ResponseWriter connection, HeldBytes heldBytes, Runnable onAbort) {
        mConnection = connection;
        mHeldBytes = heldBytes;
        mOnAbort = onAbort;
    }

    /** Writes what was held. Later writes go to the connection at once. */
    void takeTurn() {
        mHasTurn = true;
        releaseHeldBytes();
        runAll(mHeldWrites);
        runAll(mHeldCallbacks);
    }

    /** Runs until the queue is empty; a task may discard the rest. */
    private static void runAll(Queue<Runnable> tasks) {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    /** Drops what was held, because the request was cancelled. */
    void discard() {
        releaseHeldBytes();
        mHeldWrites.clear();
        mHeldCallbacks.clear();
    }

    private void releaseHeldBytes() {
        mHeldBytes.remove(mOwnHeldBytes);
        mOwnHeldBytes = 0;
    }

    private void hold(int bytes, Runnable write) {
        mHeldBytes.add(bytes);
        mOwnHeldBytes += bytes;
        mHeldWrites.add(write);
    }

    @Override
    public void sendComplete(BufferedResponse response) {
        if (mHasTurn) {
            mConnection.sendComplete(response);
        } else {
            hold(response.body().length, () -> mConnection.sendComplete(response));
        }
    }

    @Override
    public void start(int status, List<HeaderField> headers) {
        if (mHasTurn) {
            mConnection.start(status, headers);
        } else {
            hold(0, () -> mConnection.start(status, headers));
        }
    }

    @Override
    public void sendPart(byte[] data, boolean last, Runnable sent) {
        if (mHasTurn) {
            mConnection.sendPart(data, last, sent);
            return;
        }
        // The held part is written without a callback; the callback has its own place below.
        hold(data.length, () -> mConnection.sendPart(data, last, () -> {}));
        if (last) {
            return;
        }
        if (mHeldBytes.isFull()) {
            mHeldCallbacks.add(sent);
        } else {
            sent.run();
        }
    }

    @Override
    public void abort() {
        // Before the abort, so that no request is read behind the end of the connection.
        mOnAbort.run();
        if (mHasTurn) {
            mConnection.abort();
        } else {
            hold(0, mConnection::abort);
        }
    }
}

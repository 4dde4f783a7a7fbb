package org.arbutuslock.daemon.internal.home;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Backend server that answers some requests with complete responses, and each one after those with
 * a head and a body without end, until its connection closes or 64 MiB are written.
 */
final class EndlessServer implements AutoCloseable {
    static final int LIMIT = 64 << 20;
    private static final byte[] PART = new byte[16 * 1024];

    private final ServerSocket mListener;
    private final Deque<String> mResponses = new ArrayDeque<>();
    private final String mEndlessHead;
    private final BlockingQueue<Long> mWrittenBytes = new LinkedBlockingQueue<>();

    /**
     * Starts to listen.
     *
     * @param endlessHead start of a response without end
     */
    EndlessServer(String endlessHead) throws IOException {
        mEndlessHead = endlessHead;
        mListener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mListener.getLocalSocketAddress();
    }

    /** Adds a complete response to the next request that has none. */
    synchronized void answer(String response) {
        mResponses.add(response);
    }

    /** Returns the bytes of a response without end when its connection is closed. */
    long awaitClose() throws InterruptedException {
        Long bytes = mWrittenBytes.poll(20, TimeUnit.SECONDS);
        if (bytes == null) {
            throw new AssertionError("the connection was neither read nor closed within 20 s");
        }
        return bytes;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        long written = 0;
        boolean endless = false;
        try (socket) {
            OutputStream out = socket.getOutputStream();
            while (!endless && readHead(socket.getInputStream())) {
                String response = nextResponse();
                endless = response == null;
                out.write((endless ? mEndlessHead : response).getBytes(StandardCharsets.US_ASCII));
                while (endless && written < LIMIT) {
                    out.write(PART);
                    written += PART.length;
                }
            }
        } catch (IOException closed) {
            // Reported below.
        }
        if (endless) {
            mWrittenBytes.add(written);
        }
    }

    private synchronized String nextResponse() {
        return mResponses.poll();
    }

    private static boolean readHead(InputStream in) throws IOException {
        int last = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            last = last << 8 | next;
            if (last == 0x0d0a0d0a) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }
}

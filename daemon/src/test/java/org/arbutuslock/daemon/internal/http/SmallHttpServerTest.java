package org.arbutuslock.daemon.internal.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bytes without end at the addresses for announcements and metrics. */
public class SmallHttpServerTest {
    private static final int LIMIT = 64 << 20;
    private static final String HEAD = "PUT /a HTTP/1.1\r\nHost: a\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY = HEAD + "Content-Length: 0\r\n\r\n";

    private EventLoopGroup mEventLoops;
    private SmallHttpServer mServer;

    @BeforeMethod
    public void setUp() {
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mServer =
                new SmallHttpServer(
                        mEventLoops,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        "test",
                        request -> SmallHttpServer.text(200, "ok"));
    }

    @AfterMethod
    public void tearDown() {
        mServer.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @DataProvider
    public Object[][] endlessRequests() {
        String field = "y".repeat(1_000);
        String chunk = "3e8\r\n" + field + "\r\n";
        return new Object[][] {
            {new EndlessBytes("a body in chunks", CHUNKED, chunk)},
            {
                new EndlessBytes(
                        "a body with a length", HEAD + "Content-Length: 9999999999\r\n\r\n", field)
            },
            {new EndlessBytes("chunk extensions", CHUNKED, "1;x=" + field + "\r\nx\r\n")},
            {new EndlessBytes("trailers", CHUNKED + "0\r\n", "X-Odd: 1\r\n")},
            {new EndlessBytes("empty lines before a head", "", "\r\n")},
            {new EndlessBytes("empty lines behind a request", EMPTY, "\r\n")},
            {new EndlessBytes("a request line", "PUT /", field)},
            {new EndlessBytes("header fields", HEAD, "a:b\r\n")},
            {new EndlessBytes("one header field", HEAD + "a: ", field)},
        };
    }

    /** Guards against a connection that is read for as long as its client sends. */
    @Test(dataProvider = "endlessRequests")
    public void should_close_a_connection_with_bytes_without_end(EndlessBytes bytes)
            throws Exception {
        try (Socket socket = connect()) {
            OutputStream out = socket.getOutputStream();
            byte[] part =
                    ascii(bytes.rest().repeat(Math.max(1, 32 * 1024 / bytes.rest().length())));
            long sent = 0;
            try {
                out.write(ascii(bytes.start()));
                for (; sent < LIMIT; sent += part.length) {
                    out.write(part);
                }
            } catch (IOException closed) {
                return;
            }
            throw new AssertionError(bytes + ": " + sent + " bytes were read");
        }
    }

    /** Guards against a bound that counts the requests of a kept connection together. */
    @Test
    public void should_serve_many_requests_on_one_connection() throws Exception {
        String body = "x".repeat(60_000);
        byte[] request = ascii(HEAD + "Content-Length: 60000\r\n\r\n" + body);
        try (Socket socket = connect()) {
            InputStream in = socket.getInputStream();
            for (int index = 0; index < 100; index++) {
                socket.getOutputStream().write(request);
                assertEquals(readStatus(in), 200);
            }
        }
    }

    private static int readStatus(InputStream in) throws IOException {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("\r\n\r\nok")) {
            int next = in.read();
            assertTrue(next >= 0, "closed behind: " + response);
            response.append((char) next);
        }
        return Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = mServer.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Bytes of a faulty client: a start, and a rest that it repeats without end. */
    private record EndlessBytes(String label, String start, String rest) {
        @Override
        public String toString() {
            return label;
        }
    }
}

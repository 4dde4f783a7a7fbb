import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages on a socket. Used by all stand-ins. */
final class Http {
    private Http() {}

    /** One header field. */
    record Field(String name, String value) {}

    /** A request or a response; {@code first} is its first line. */
    static final class Message {
        String first = "";
        final List<Field> fields = new ArrayList<>();
        byte[] body = new byte[0];
        /** False when the connection ended before the body was complete. */
        boolean complete = true;

        String header(String name) {
            for (Field field : fields) {
                if (field.name().equalsIgnoreCase(name)) {
                    return field.value();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    /** A connection with buffered streams. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        }

        static Connection open(InetSocketAddress address, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(address, timeoutMillis);
            return new Connection(socket);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The connection is closed either way.
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; a response without a length ends with its connection. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.fields.add(
                    new Field(line.substring(0, colon).strip(), line.substring(colon + 1).strip()));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.header("Content-Length");
        String coding = message.header("Transfer-Encoding");
        try {
            if (coding != null && coding.toLowerCase().contains("chunked")) {
                readChunks(in, body);
            } else if (length != null) {
                copy(in, body, Integer.parseInt(length));
            } else if (response) {
                in.transferTo(body);
            }
        } catch (IOException ended) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            if (size == 0) {
                while (!readLine(in).isEmpty()) {
                    // Trailer fields are not used.
                }
                return;
            }
            copy(in, body, size);
            readLine(in);
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int length)
            throws IOException {
        byte[] buffer = new byte[16_384];
        int left = length;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException("the connection ended within a body");
            }
            body.write(buffer, 0, read);
            left -= read;
        }
    }

    /** Writes a first line and header fields, given as name, value, name, value. */
    static void writeHead(OutputStream out, String first, String... fields) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        for (int index = 0; index < fields.length; index += 2) {
            head.append(fields[index]).append(": ").append(fields[index + 1]).append("\r\n");
        }
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}

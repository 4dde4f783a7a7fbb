import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** A client on the machine of one node, as PROTOCOL.md describes it. */
final class Client {
    private final Lab lab;
    private final Lab.Node node;
    private Http.Connection kept;

    Client(Lab lab, Lab.Node node) {
        this.lab = lab;
        this.node = node;
    }

    /** One client attempt and its answer; the answer is null when none was complete. */
    record Attempt(String requestId, Http.Message answer) {}

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends one attempt on the kept connection, or on a new one. */
    Attempt send(String method, String host, String path, byte[] body, int deadlineMillis) {
        String requestId = newId();
        lab.log("sent", requestId + " " + method + " " + path);
        Http.Message answer = null;
        try {
            if (kept == null) {
                kept = Http.Connection.open(node.outbound, 1_000);
            }
            kept.socket.setSoTimeout(deadlineMillis);
            List<String> fields = new ArrayList<>();
            fields.addAll(List.of("Host", host, "X-Request-Id", requestId));
            fields.addAll(List.of("X-Deadline-Ms", Integer.toString(deadlineMillis)));
            if (!method.equals("GET")) {
                fields.addAll(List.of("Content-Length", Integer.toString(body.length)));
            }
            Http.writeHead(
                    kept.out, method + " " + path + " HTTP/1.1", fields.toArray(String[]::new));
            kept.out.write(body);
            kept.out.flush();
            answer = Http.read(kept.in, true);
            lab.log(
                    "answered",
                    requestId
                            + " "
                            + answer.status()
                            + (answer.complete ? "" : " incomplete")
                            + " seal "
                            + answer.header("X-Response-Seal")
                            + " retry-after "
                            + answer.header("Retry-After"));
            if (!answer.complete || "close".equalsIgnoreCase(answer.header("Connection"))) {
                drop();
            }
        } catch (IOException failed) {
            lab.log("answered", requestId + " nothing: " + failed.getMessage());
            drop();
        }
        return new Attempt(requestId, answer != null && answer.complete ? answer : null);
    }

    /** Closes the kept connection; each retry uses a new one. */
    void drop() {
        if (kept != null) {
            kept.close();
            kept = null;
        }
    }

    /** Returns whether an answer promises that the request has not run and never will. */
    static boolean isPromise(Http.Message answer) {
        return answer != null
                && List.of(408, 421, 429, 503).contains(answer.status());
    }
}

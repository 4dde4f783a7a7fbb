package org.arbutuslock.daemon.internal.home;

import java.util.List;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * The parts of a caller's idempotent GET request that a probe repeats. All headers except the host
 * header are left out, since they may hold credentials.
 *
 * @param target HTTP request target
 * @param headers the host header, or empty when the request had none
 */
public record ProbeTemplate(String target, List<HeaderField> headers) {
    /** Copies the list of headers. */
    public ProbeTemplate {
        headers = List.copyOf(headers);
    }

    static ProbeTemplate of(ExecutionRequest request) {
        List<HeaderField> host =
                request.headers().stream()
                        .filter(field -> field.name().equalsIgnoreCase("host"))
                        .toList();
        return new ProbeTemplate(request.target(), host);
    }
}

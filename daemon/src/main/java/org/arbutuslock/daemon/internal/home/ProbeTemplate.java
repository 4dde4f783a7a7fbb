package org.arbutuslock.daemon.internal.home;

import java.util.List;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * An idempotent request of a caller, reduced to what a probe may repeat. Other headers, such as
 * credentials, are left out.
 *
 * @param target HTTP request target
 * @param headers the host header, if there was one
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

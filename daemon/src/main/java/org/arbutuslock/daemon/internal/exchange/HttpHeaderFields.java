package org.arbutuslock.daemon.internal.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.arbutuslock.internal.messages.HeaderField;

/** Copies header fields from one connection to another (RFC 9110, section 7.6.1). */
public final class HttpHeaderFields {
    private static final Set<String> CONNECTION_FIELDS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private HttpHeaderFields() {}

    /**
     * Copies all fields but those that belong to one connection or that it names.
     *
     * @param headers header fields of a message
     * @return copied fields in order
     */
    public static List<HeaderField> withoutHopByHopFields(HttpHeaders headers) {
        Set<String> excluded = new HashSet<>(CONNECTION_FIELDS);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                excluded.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<String, String> entry : headers) {
            if (!excluded.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
                fields.add(new HeaderField(entry.getKey(), entry.getValue()));
            }
        }
        return fields;
    }
}

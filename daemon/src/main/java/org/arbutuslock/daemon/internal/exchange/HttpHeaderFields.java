package org.arbutuslock.daemon.internal.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.internal.messages.HeaderField;

/** Removes hop-by-hop header fields before a message is forwarded (RFC 9110, section 7.6.1). */
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
     * Copies all header fields except the hop-by-hop fields and the fields that the Connection
     * header names.
     *
     * @param headers header fields of a message
     * @return copied fields in the original order
     */
    public static List<HeaderField> withoutHopByHopFields(HttpHeaders headers) {
        return withoutHopByHopFields(headers, Optional.empty());
    }

    /**
     * Copies all header fields except the hop-by-hop fields and the fields that the Connection
     * header names.
     *
     * @param headers header fields of a message
     * @param endToEnd name in lower case of a field that is copied even if the Connection header
     *     names it, which it must not do for a field that is meant for all recipients
     * @return copied fields in the original order
     */
    public static List<HeaderField> withoutHopByHopFields(
            HttpHeaders headers, Optional<String> endToEnd) {
        Set<String> excluded = new HashSet<>(CONNECTION_FIELDS);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                excluded.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        endToEnd.ifPresent(excluded::remove);
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<String, String> entry : headers) {
            if (!excluded.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
                fields.add(new HeaderField(entry.getKey(), entry.getValue()));
            }
        }
        return fields;
    }
}

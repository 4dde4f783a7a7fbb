package org.arbutuslock.internal.messages;

import java.util.List;

/**
 * One header field of an HTTP message.
 *
 * @param name field name, in any case
 * @param value field value
 */
public record HeaderField(String name, String value) {
    /**
     * Finds a field.
     *
     * @param fields fields of a message
     * @param name name of the field; case is ignored
     * @return value of the first field with that name, or null when there is none
     */
    public static String find(List<HeaderField> fields, String name) {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }
}

package org.arbutuslock.internal.configuration;

/**
 * One reason why a configuration or change is invalid.
 *
 * @param entity kind and name of the entity, for example {@code route orders}
 * @param field field of the entity
 * @param value value that was read
 * @param allowed what is allowed instead
 */
public record ValidationError(String entity, String field, String value, String allowed) {
    @Override
    public String toString() {
        return entity + ", field " + field + ": read \"" + value + "\", allowed: " + allowed;
    }
}

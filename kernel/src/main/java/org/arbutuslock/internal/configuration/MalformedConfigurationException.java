package org.arbutuslock.internal.configuration;

/** Reports an encoded change or snapshot that cannot be parsed. */
public final class MalformedConfigurationException extends Exception {
    MalformedConfigurationException(long position, String field, String value, String allowed) {
        super(
                "byte "
                        + position
                        + ", field "
                        + field
                        + ": read "
                        + value
                        + ", allowed: "
                        + allowed);
    }
}

package org.arbutuslock.internal.messages;

/**
 * One header field of an HTTP message.
 *
 * @param name field name
 * @param value field value
 */
public record HeaderField(String name, String value) {}

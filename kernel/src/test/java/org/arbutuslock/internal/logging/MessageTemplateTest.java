package org.arbutuslock.internal.logging;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against log messages that lose an argument or format a number by locale. */
public class MessageTemplateTest {
    @Test
    public void should_insert_arguments_as_they_are() {
        assertEquals(format("{0} of {1}: {0}", 12_345, "it's"), "12345 of it's: 12345");
        assertEquals(format("the node's settings"), "the node's settings");
        assertEquals(format("{10}{0}", "a"), "{10}a");
        assertEquals(format("{x} {0}", (Object) null), "{x} null");
    }

    private static String format(String template, Object... arguments) {
        StringBuilder target = new StringBuilder();
        new MessageTemplate(template).format(target, arguments);
        return target.toString();
    }
}

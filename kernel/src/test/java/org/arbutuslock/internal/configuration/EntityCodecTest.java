package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.annotations.Test;

/**
 * Guards against changes in the store that a newer node cannot decode because fields were added to
 * routes.
 */
public class EntityCodecTest {
    private static final int FIELDS_WITHOUT_POLICY = 11;

    @Test
    public void should_read_routes_that_were_written_without_a_policy() throws Exception {
        RouteDefinition route = read(pack(FIELDS_WITHOUT_POLICY));
        assertEquals(route.priority(), 7);
        assertEquals(route.policy(), RoutePolicy.DEFAULT);
    }

    @Test
    public void should_reject_routes_with_a_part_of_a_policy() throws Exception {
        byte[] bytes = pack(FIELDS_WITHOUT_POLICY + 1);
        assertThrows(MalformedConfigurationException.class, () -> read(bytes));
    }

    private static byte[] pack(int fields) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(fields)
                    .packString("orders")
                    .packString("")
                    .packString("POST")
                    .packString("/orders")
                    .packBoolean(true)
                    .packArrayHeader(0)
                    .packString("orders")
                    .packInt(0)
                    .packBoolean(false)
                    .packInt(1_000)
                    .packInt(7)
                    .packInt(800);
            return packer.toByteArray();
        }
    }

    private static RouteDefinition read(byte[] bytes) throws MalformedConfigurationException {
        return EntityCodec.unpackRoute(new BoundedUnpacker(bytes));
    }
}

package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.UUID;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.Test;

/**
 * Guards against changes that decode to other values than were encoded, and against unexpected
 * exceptions and large allocations on damaged bytes.
 */
public class ConfigurationChangeCodecTest {
    private static final ConfigurationChange CHANGE =
            Samples.change(
                    9, Samples.everyOperationWithSplit().toArray(ConfigurationOperation[]::new));

    @Test
    public void should_decode_what_it_encodes() throws Exception {
        byte[] bytes = ConfigurationChangeCodec.encode(CHANGE);
        assertEquals(ConfigurationChangeCodec.decode(bytes), CHANGE);
    }

    @Test
    public void should_keep_the_id_that_the_operator_wrote() throws Exception {
        ConfigurationChange rollback =
                new ConfigurationChange(
                        9, new UUID(3, 4), "ada", 5, 8, CHANGE.operations(), "fix-orders", 6);
        byte[] bytes = ConfigurationChangeCodec.encode(rollback);
        assertEquals(ConfigurationChangeCodec.decode(bytes), rollback);
        assertEquals(rollback.displayId(), "fix-orders");
        assertEquals(CHANGE.displayId(), CHANGE.changeId().toString());
    }

    @Test
    public void should_reject_every_truncation() {
        byte[] bytes = ConfigurationChangeCodec.encode(CHANGE);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(
                    MalformedConfigurationException.class,
                    () -> ConfigurationChangeCodec.decode(truncated));
        }
    }

    /** Any other exception would end the thread that applies changes. */
    @Test
    public void should_throw_only_the_declared_exception_on_random_damage() {
        Seeds.run(
                2000,
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    byte[] bytes = ConfigurationChangeCodec.encode(CHANGE);
                    for (int count = random.nextInt(1, 4); count > 0; count--) {
                        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                    }
                    try {
                        ConfigurationChangeCodec.decode(bytes);
                    } catch (MalformedConfigurationException expected) {
                        assertEquals(expected.getMessage().startsWith("byte "), true);
                    }
                });
    }

    @Test
    public void should_check_a_length_before_allocating_memory() {
        byte[] hugeArray = {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        MalformedConfigurationException error =
                expectThrows(
                        MalformedConfigurationException.class,
                        () -> ConfigurationChangeCodec.decode(hugeArray));
        assertEquals(error.getMessage(), "byte 5, field change: read 2147483647, allowed: 8 to 10");
    }
}

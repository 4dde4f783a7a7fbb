package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.internal.testing.DecoderFuzz;
import org.testng.annotations.Test;

/** Guards against unexpected exceptions when a change, snapshot or document is damaged. */
public class ConfigurationFuzzTest {
    private static final String BYTE_AND_FIELD = "^byte \\d+, field \\w+";
    private static final ConfigurationChange CHANGE =
            Samples.change(9, Samples.everyOperation().toArray(ConfigurationOperation[]::new));
    private static final Configuration CONFIGURATION =
            Configuration.EMPTY.apply(
                    Samples.change(
                            1, Samples.everyOperation().toArray(ConfigurationOperation[]::new)));

    @Test
    public void should_decode_or_reject_damaged_changes() {
        new DecoderFuzz(
                        "configuration changes",
                        List.of(ConfigurationChangeCodec.encode(CHANGE)),
                        DecoderFuzz.MESSAGE_PACK_TOKENS,
                        BYTE_AND_FIELD)
                .run(
                        MalformedConfigurationException.class,
                        new DecoderFuzz.Codec<ConfigurationChange>() {
                            @Override
                            public ConfigurationChange decode(byte[] bytes)
                                    throws MalformedConfigurationException {
                                return ConfigurationChangeCodec.decode(bytes);
                            }

                            @Override
                            public byte[] encode(ConfigurationChange change) {
                                return ConfigurationChangeCodec.encode(change);
                            }
                        });
    }

    @Test
    public void should_decode_or_reject_damaged_snapshots() {
        new DecoderFuzz(
                        "snapshots",
                        SnapshotCodec.encode(CONFIGURATION),
                        DecoderFuzz.MESSAGE_PACK_TOKENS,
                        BYTE_AND_FIELD)
                .run(ConfigurationFuzzTest::readSnapshot);
    }

    @Test
    public void should_decode_or_reject_damaged_documents() throws IOException {
        StringWriter text = new StringWriter();
        DocumentWriter.write(ConfigurationDocument.of(CONFIGURATION), text);
        new DecoderFuzz(
                        "documents",
                        List.of(text.toString().getBytes(StandardCharsets.UTF_8)),
                        DecoderFuzz.JSON_TOKENS,
                        "^f\\.json:\\d+:\\d+: field \\S+")
                .run(ConfigurationFuzzTest::readDocument);
    }

    private static DecoderFuzz.Outcome readSnapshot(byte[] part) {
        try {
            SnapshotAssembler assembler = new SnapshotAssembler();
            assembler.add(part);
            Optional<Configuration> configuration = assembler.complete();
            return DecoderFuzz.Outcome.accepted(
                    () -> configuration.ifPresent(SnapshotCodec::encode));
        } catch (MalformedConfigurationException rejected) {
            return DecoderFuzz.Outcome.rejected(rejected.getMessage());
        }
    }

    private static DecoderFuzz.Outcome readDocument(byte[] bytes) throws IOException {
        String text = new String(bytes, StandardCharsets.UTF_8);
        return switch (DocumentParser.parse("f.json", new StringReader(text))) {
            case ParseResult.Parsed(ConfigurationDocument document) ->
                    DecoderFuzz.Outcome.accepted(
                            () -> DocumentWriter.write(document, new StringWriter()));
            case ParseResult.Malformed(List<DocumentError> errors) ->
                    DecoderFuzz.Outcome.rejected(errors.getFirst().toString());
        };
    }
}

package org.arbutuslock.internal.settings;

import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.arbutuslock.internal.testing.DecoderFuzz;
import org.testng.annotations.Test;

/** Guards against damaged settings files that raise an exception instead of being reported. */
public class SettingsFuzzTest {
    @Test
    public void should_survive_damaged_files() throws IOException {
        new DecoderFuzz(
                        "settings",
                        List.of(Files.readAllBytes(Path.of("../config/node.example.json"))),
                        DecoderFuzz.JSON_TOKENS,
                        "node\\.json:[1-9]\\d*:[1-9]\\d*:")
                .run(SettingsFuzzTest::load);
    }

    private static DecoderFuzz.Outcome load(byte[] content) throws IOException {
        return switch (new SettingsLoader().parse(Path.of("node.json"), content)) {
            case SettingsResult.Loaded(NodeSettings settings) ->
                    DecoderFuzz.Outcome.accepted(() -> assertFalse(settings.nodeName().isEmpty()));
            case SettingsResult.Invalid(List<SettingsProblem> problems) ->
                    DecoderFuzz.Outcome.rejected(problems.getFirst().toString());
        };
    }
}

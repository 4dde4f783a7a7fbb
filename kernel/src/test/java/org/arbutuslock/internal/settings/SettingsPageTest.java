package org.arbutuslock.internal.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Guards against a docs/settings.md that lacks a field or gives another unit, range or default than
 * the code, as after a change of a field without its row.
 */
public class SettingsPageTest {
    @Test
    public void should_describe_every_field_of_the_record() throws IOException {
        Set<String> fields = new TreeSet<>();
        collect(NodeSettings.class, "", fields);
        Map<String, String[]> rows = readRows();
        assertEquals(new TreeSet<>(rows.keySet()), fields);
        for (SettingsField field : SettingsField.values()) {
            String[] cells = rows.get(field.path());
            String unit = field.unit().isEmpty() ? "-" : field.unit();
            assertEquals(cells[2], unit, field.path());
            assertEquals(cells[3], field.rule().allowed(), field.path());
            assertEquals(cells[4], field.defaultText(), field.path());
            assertTrue(!cells[5].isBlank(), field.path());
        }
        assertEquals(
                Arrays.stream(SettingsField.values()).map(SettingsField::path).sorted().toList(),
                fields.stream().toList());
    }

    private static Map<String, String[]> readRows() throws IOException {
        Map<String, String[]> rows = new LinkedHashMap<>();
        for (String line : Files.readAllLines(Path.of("../docs/settings.md"))) {
            if (line.startsWith("| `")) {
                String[] cells = line.split(" *\\| *", -1);
                rows.put(cells[1].replace("`", ""), cells);
            }
        }
        return rows;
    }

    private static void collect(Class<?> type, String prefix, Set<String> fields) {
        for (RecordComponent component : type.getRecordComponents()) {
            Class<?> componentType = component.getType();
            if (component.getGenericType() instanceof ParameterizedType generic
                    && componentType == java.util.Optional.class) {
                componentType = (Class<?>) generic.getActualTypeArguments()[0];
            }
            if (componentType.isRecord()) {
                collect(componentType, prefix + component.getName() + ".", fields);
            } else {
                fields.add(prefix + component.getName());
            }
        }
    }
}

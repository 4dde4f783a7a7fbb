package org.arbutuslock.cli.internal;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;

/**
 * Operations that change the current configuration, and their descriptions.
 *
 * @param operations requested operations without those that would change nothing
 * @param lines description of each operation, in the same order
 */
record Difference(List<Operation> operations, List<String> lines) {
    static Difference between(Map<EntityName, Entity> current, List<Operation> requested) {
        List<Operation> operations = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (Operation operation : requested) {
            EntityName name = Entities.nameOf(operation);
            Entity existing = current.get(name);
            Entity replacement = operation.hasPut() ? operation.getPut() : null;
            if (!Objects.equals(existing, replacement)) {
                operations.add(operation);
                lines.add(describe(name, existing, replacement));
            }
        }
        return new Difference(List.copyOf(operations), List.copyOf(lines));
    }

    static Set<EntityName> namesOf(List<Operation> operations) {
        return operations.stream()
                .map(Entities::nameOf)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static String describe(EntityName name, Entity existing, Entity replacement) {
        String label = Entities.kindName(name.getKind()) + " " + name.getName();
        if (replacement == null) {
            return "- " + label;
        }
        if (existing == null) {
            return "+ " + label + ": " + String.join(", ", describeFields(replacement));
        }
        return "~ " + label + ": " + String.join(", ", compareFields(existing, replacement));
    }

    private static List<String> describeFields(Entity entity) {
        List<String> fields = new ArrayList<>();
        messageOf(entity)
                .getAllFields()
                .forEach(
                        (field, value) -> {
                            if (!"name".equals(field.getName())) {
                                fields.add(field.getJsonName() + " " + format(field, value));
                            }
                        });
        return fields;
    }

    private static List<String> compareFields(Entity existing, Entity replacement) {
        Map<FieldDescriptor, Object> before = messageOf(existing).getAllFields();
        Map<FieldDescriptor, Object> after = messageOf(replacement).getAllFields();
        Set<FieldDescriptor> fields = new TreeSet<>(before.keySet());
        fields.addAll(after.keySet());
        List<String> changes = new ArrayList<>();
        for (FieldDescriptor field : fields) {
            Object old = before.get(field);
            Object current = after.get(field);
            if (!Objects.equals(old, current)) {
                changes.add(
                        field.getJsonName()
                                + " "
                                + format(field, old)
                                + " -> "
                                + format(field, current));
            }
        }
        return changes;
    }

    private static Message messageOf(Entity entity) {
        return (Message) entity.getAllFields().values().iterator().next();
    }

    private static String format(FieldDescriptor field, Object value) {
        if (value == null) {
            return field.isRepeated() || field.getRealContainingOneof() != null
                    ? "(none)"
                    : String.valueOf(field.getDefaultValue());
        }
        return value.toString().replace("\n", " ").strip();
    }
}

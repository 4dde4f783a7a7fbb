package org.arbutuslock.v1;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.Descriptors.MethodDescriptor;
import com.google.protobuf.Descriptors.ServiceDescriptor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Lists the field numbers, enum numbers and methods of a schema and compares them with the recorded
 * ones.
 */
final class SchemaBaseline {
    private SchemaBaseline() {}

    /**
     * Maps each number to its definition: "Message 3" to "name type", "Enum 3" to "name", and
     * "Service Method" to "request response".
     */
    static Map<String, String> describe(FileDescriptor file) {
        Map<String, String> lines = new TreeMap<>();
        file.getMessageTypes().forEach(message -> describeMessage(message, lines));
        file.getEnumTypes().forEach(type -> describeEnum(type, lines));
        for (ServiceDescriptor service : file.getServices()) {
            for (MethodDescriptor method : service.getMethods()) {
                lines.put(service.getFullName() + " " + method.getName(), describeMethod(method));
            }
        }
        return lines;
    }

    /** Returns one problem for each number that was removed, changed or not recorded. */
    static List<String> compare(Map<String, String> baseline, FileDescriptor file) {
        Map<String, String> current = describe(file);
        List<String> problems = new ArrayList<>();
        baseline.forEach(
                (number, definition) -> {
                    String found = current.get(number);
                    if (found == null && !isReserved(number, file)) {
                        problems.add(
                                number + " (" + definition + ") was removed; reserve the number");
                    } else if (found != null && !found.equals(definition)) {
                        problems.add(number + " was " + definition + " and is now " + found);
                    }
                });
        current.forEach(
                (number, definition) -> {
                    if (!baseline.containsKey(number)) {
                        problems.add(
                                number
                                        + "="
                                        + definition
                                        + " is missing in field-numbers.txt; add this line");
                    }
                });
        return problems;
    }

    private static void describeMessage(Descriptor message, Map<String, String> lines) {
        for (FieldDescriptor field : message.getFields()) {
            String label = field.isRepeated() ? "repeated " : "";
            lines.put(
                    message.getFullName() + " " + field.getNumber(),
                    field.getName() + " " + label + typeName(field));
        }
        message.getNestedTypes().forEach(nested -> describeMessage(nested, lines));
        message.getEnumTypes().forEach(nested -> describeEnum(nested, lines));
    }

    private static void describeEnum(EnumDescriptor type, Map<String, String> lines) {
        type.getValues()
                .forEach(
                        value ->
                                lines.put(
                                        type.getFullName() + " " + value.getNumber(),
                                        value.getName()));
    }

    private static String describeMethod(MethodDescriptor method) {
        return method.getInputType().getFullName()
                + " "
                + (method.isServerStreaming() ? "stream " : "")
                + method.getOutputType().getFullName();
    }

    private static String typeName(FieldDescriptor field) {
        return switch (field.getJavaType()) {
            case MESSAGE -> field.getMessageType().getFullName();
            case ENUM -> field.getEnumType().getFullName();
            default -> field.getType().name().toLowerCase(java.util.Locale.ROOT);
        };
    }

    private static boolean isReserved(String number, FileDescriptor file) {
        String[] parts = number.split(" ");
        String simpleName = parts[0].substring(file.getPackage().length() + 1);
        Descriptor message = file.findMessageTypeByName(simpleName);
        if (message != null) {
            return message.isReservedNumber(Integer.parseInt(parts[1]));
        }
        EnumDescriptor type = file.findEnumTypeByName(simpleName);
        return type != null && type.isReservedNumber(Integer.parseInt(parts[1]));
    }
}

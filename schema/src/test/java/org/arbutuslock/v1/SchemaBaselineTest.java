package org.arbutuslock.v1;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.DescriptorProto.ReservedRange;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors.DescriptorValidationException;
import com.google.protobuf.Descriptors.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Guards against a schema that nodes and tools of another release would misread, because a number
 * was reused or a field changed its type.
 */
public class SchemaBaselineTest {
    private static final Map<String, String> OLD =
            Map.of("test.Message 1", "name string", "test.Message 2", "count int32");

    @Test
    public void should_keep_every_recorded_number() throws IOException {
        Map<String, String> baseline = new TreeMap<>();
        try (InputStream file = getClass().getResourceAsStream("/field-numbers.txt")) {
            new String(file.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> line.split("=", 2))
                    .forEach(parts -> baseline.put(parts[0], parts[1]));
        }
        FileDescriptor schema = ApplyChangeRequest.getDescriptor().getFile();
        assertEquals(SchemaBaseline.compare(baseline, schema), List.of());
    }

    @Test
    public void should_report_a_reused_number_and_a_removed_field() throws Exception {
        FileDescriptor changed =
                schema(message(field("title", 1, FieldDescriptorProto.Type.TYPE_STRING)));
        assertEquals(
                SchemaBaseline.compare(new TreeMap<>(OLD), changed),
                List.of(
                        "test.Message 1 was name string and is now title string",
                        "test.Message 2 (count int32) was removed; reserve the number"));
    }

    @Test
    public void should_report_a_changed_type_but_accept_a_reserved_field() throws Exception {
        DescriptorProto.Builder reserved =
                message(field("name", 1, FieldDescriptorProto.Type.TYPE_BYTES))
                        .addReservedRange(ReservedRange.newBuilder().setStart(2).setEnd(3));
        assertEquals(
                SchemaBaseline.compare(new TreeMap<>(OLD), schema(reserved)),
                List.of("test.Message 1 was name string and is now name bytes"));
    }

    private static DescriptorProto.Builder message(FieldDescriptorProto.Builder field) {
        return DescriptorProto.newBuilder().setName("Message").addField(field);
    }

    private static FieldDescriptorProto.Builder field(
            String name, int number, FieldDescriptorProto.Type type) {
        return FieldDescriptorProto.newBuilder().setName(name).setNumber(number).setType(type);
    }

    private static FileDescriptor schema(DescriptorProto.Builder message)
            throws DescriptorValidationException {
        FileDescriptorProto file =
                FileDescriptorProto.newBuilder()
                        .setName("test.proto")
                        .setPackage("test")
                        .setSyntax("proto3")
                        .addMessageType(message)
                        .build();
        return FileDescriptor.buildFrom(file, new FileDescriptor[0]);
    }
}

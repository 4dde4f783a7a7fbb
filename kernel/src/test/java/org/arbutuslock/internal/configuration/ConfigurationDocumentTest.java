package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import java.util.stream.Collectors;
import org.arbutuslock.api.TenantDefinition;
import org.testng.annotations.Test;

/** Guards against documents that are parsed wrongly and errors without a correct position. */
public class ConfigurationDocumentTest {
    @Test
    public void should_read_what_it_writes() throws IOException {
        Configuration configuration =
                Configuration.EMPTY.apply(
                        Samples.change(
                                1,
                                Samples.everyOperationWithSplit()
                                        .toArray(ConfigurationOperation[]::new)));
        StringWriter text = new StringWriter();
        DocumentWriter.write(ConfigurationDocument.of(configuration), text);
        ParseResult.Parsed parsed = (ParseResult.Parsed) parse("// by ada\n/* \u00e9 */" + text);
        assertEquals(DocumentDiff.diff(configuration, parsed.document()), List.of());
        assertEquals(parsed.document().services().size(), 2);
    }

    @Test
    public void should_report_all_errors_with_their_positions() throws IOException {
        String text =
                """
                { // fleet
                  "services": [{"name": "a", "floor": "half", "expectedEndpoints": 8,
                                "slotsPerEndpoint": 5, "retryPercent": 1e3}],
                  "routes": [7],
                  "tenants": [{"name": "t"}, {"name": "t", "wieght": {}}, {"weight": 99999999999}],
                  "nodes": []
                }
                """;
        assertEquals(
                messages(parse(text)),
                String.join(
                        "\n",
                        "f.json:2:39: field services[0].floor: read \"half\", allowed: a number of"
                                + " endpoints, or a share such as \"75%\"",
                        "f.json:3:56: field services[0].retryPercent: read 1e3, allowed: an integer"
                                + " of 32 bits",
                        "f.json:4:14: field routes[0]: read 7, allowed: an object",
                        "f.json:5:39: field tenants[1].name: read \"t\", allowed: a name that no"
                                + " other entity has",
                        "f.json:5:54: field tenants[1].wieght: read an object, allowed: one of the"
                                + " fields [name, weight]",
                        "f.json:5:70: field tenants[2].weight: read 99999999999, allowed: an"
                                + " integer of 32 bits",
                        "f.json:5:81: field tenants[2].name: read nothing, allowed: a string",
                        "f.json:6:12: field nodes: read an array, allowed: services, routes or"
                                + " tenants"));
    }

    @Test
    public void should_report_where_the_syntax_is_wrong() throws IOException {
        String message = messages(parse("{\n  \"services\": [}\n"));
        assertEquals(message.startsWith("f.json:2:16: field document: read "), true, message);
    }

    @Test
    public void should_compute_operations_that_lead_to_the_document() throws IOException {
        Configuration current =
                Configuration.EMPTY.apply(
                        Samples.change(
                                1,
                                new ConfigurationOperation.PutService(Samples.service("old")),
                                new ConfigurationOperation.PutService(Samples.service("kept")),
                                new ConfigurationOperation.PutRoute(
                                        Samples.route("moved", "/m", "old")),
                                new ConfigurationOperation.PutRoute(
                                        Samples.route("gone", "/g", "old")),
                                new ConfigurationOperation.PutTenant(
                                        new TenantDefinition("gone", 1))));
        ConfigurationDocument desired =
                new ConfigurationDocument(
                        List.of(Samples.service("kept"), Samples.service("new")),
                        List.of(Samples.route("moved", "/m", "new")),
                        List.of(new TenantDefinition("added", 2)));
        List<ConfigurationOperation> operations = DocumentDiff.diff(current, desired);
        assertEquals(ConfigurationValidator.validate(current, operations), List.of());
        Configuration after =
                current.apply(Samples.change(2, operations.toArray(ConfigurationOperation[]::new)));
        assertEquals(DocumentDiff.diff(after, desired), List.of());
        assertEquals(operations.size(), 6);
    }

    private static ParseResult parse(String text) throws IOException {
        return DocumentParser.parse("f.json", new StringReader(text));
    }

    private static String messages(ParseResult result) {
        return ((ParseResult.Malformed) result)
                .errors().stream().map(DocumentError::toString).collect(Collectors.joining("\n"));
    }
}

package org.arbutuslock.internal.settings;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Reads the fields of one settings file. A read method reports an invalid or missing field and
 * returns a placeholder, so that reading continues and all problems of the file are found.
 */
final class FieldReader {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9-]{1,63}");
    private static final InetSocketAddress PLACEHOLDER = new InetSocketAddress(0);

    private final LocatedValue.Section mRoot;
    private final Path mDirectory;
    private final ProblemCollector mProblems;

    FieldReader(LocatedValue.Section root, Path directory, ProblemCollector problems) {
        mRoot = root;
        mDirectory = directory;
        mProblems = problems;
    }

    boolean has(String path) {
        return find(path).isPresent();
    }

    String readName(SettingsField field) {
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return "";
        }
        if (value.get() instanceof LocatedValue.Scalar scalar
                && scalar.isString()
                && NAME_PATTERN.matcher(scalar.content()).matches()) {
            return scalar.content();
        }
        reportRange(value.get(), field);
        return "";
    }

    long readInteger(SettingsField field) {
        FieldRule.IntegerRange rule = (FieldRule.IntegerRange) field.rule();
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return Long.parseLong(field.defaultText());
        }
        if (value.get() instanceof LocatedValue.Scalar scalar && scalar.isInteger()) {
            Optional<Long> number = parse(scalar.content());
            if (number.isPresent()
                    && number.get() >= rule.minimum()
                    && number.get() <= rule.maximum()) {
                return number.get();
            }
        }
        reportRange(value.get(), field);
        return rule.minimum();
    }

    double readDecimal(SettingsField field) {
        FieldRule.DecimalRange rule = (FieldRule.DecimalRange) field.rule();
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return Double.parseDouble(field.defaultText());
        }
        if (value.get() instanceof LocatedValue.Scalar scalar && !scalar.isString()) {
            Optional<Double> number = parseDecimal(scalar.content());
            if (number.isPresent()
                    && number.get() >= rule.minimum()
                    && number.get() <= rule.maximum()) {
                return number.get();
            }
        }
        reportRange(value.get(), field);
        return rule.minimum();
    }

    /** Reads one of the allowed words and returns its index in the list of allowed words. */
    int readChoice(SettingsField field) {
        FieldRule.Choice rule = (FieldRule.Choice) field.rule();
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return rule.words().indexOf(field.defaultText());
        }
        if (value.get() instanceof LocatedValue.Scalar scalar && scalar.isString()) {
            int position = rule.words().indexOf(scalar.content());
            if (position >= 0) {
                return position;
            }
        }
        reportRange(value.get(), field);
        return 0;
    }

    InetSocketAddress readAddress(SettingsField field) {
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isPresent()) {
            return parseAddress(value.get(), field, field.path());
        }
        return AddressParser.parse(field.defaultText()).orElse(PLACEHOLDER);
    }

    List<InetSocketAddress> readAddresses(SettingsField field) {
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return List.of();
        }
        int maximum = ((FieldRule.Addresses) field.rule()).maximumEntries();
        if (!(value.get() instanceof LocatedValue.Array array)
                || array.elements().size() > maximum) {
            reportRange(value.get(), field);
            return List.of();
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int index = 0; index < array.elements().size(); index++) {
            String path = field.path() + "[" + index + "]";
            addresses.add(
                    parseAddress(array.elements().get(index), SettingsField.PEERS_ADDRESS, path));
        }
        return List.copyOf(addresses);
    }

    Path readFile(SettingsField field) {
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return mDirectory;
        }
        if (value.get() instanceof LocatedValue.Scalar scalar && scalar.isString()) {
            Optional<Path> file = resolve(scalar.content());
            if (file.isPresent()) {
                return file.get();
            }
        }
        mProblems.add(
                value.get(),
                field.path(),
                "allowed is "
                        + field.rule().allowed()
                        + "; relative paths start at "
                        + mDirectory.toAbsolutePath());
        return mDirectory;
    }

    Map<String, NodeSettings.Role> readRoles(SettingsField field) {
        Optional<LocatedValue> value = findOrReport(field);
        if (value.isEmpty()) {
            return Map.of();
        }
        if (!(value.get() instanceof LocatedValue.Section section) || section.members().isEmpty()) {
            reportRange(value.get(), field);
            return Map.of();
        }
        Map<String, NodeSettings.Role> roles = new LinkedHashMap<>();
        section.members()
                .forEach(
                        (name, member) -> {
                            Optional<NodeSettings.Role> role = parseRole(member.value());
                            role.ifPresentOrElse(
                                    known -> roles.put(name, known),
                                    () ->
                                            mProblems.add(
                                                    member.value(),
                                                    field.path() + "." + name,
                                                    "allowed is \"viewer\" or \"operator\""));
                        });
        return Map.copyOf(roles);
    }

    /** Adds a problem at the position of the field, or at 1:1 when the field is not set. */
    void report(SettingsField field, String reason) {
        Optional<LocatedValue> value = find(field.path());
        if (value.isPresent()) {
            mProblems.add(value.get(), field.path(), reason);
            return;
        }
        boolean hasDefault = AddressParser.parse(field.defaultText()).isPresent();
        String used = hasDefault ? "\"" + field.defaultText() + "\" by default" : "";
        mProblems.add(1, 1, field.path(), used, reason);
    }

    private Optional<LocatedValue> findOrReport(SettingsField field) {
        Optional<LocatedValue> value = find(field.path());
        if (value.isEmpty() && field.isRequired()) {
            reportMissing(nearestSection(field.path()), field);
        }
        return value;
    }

    private void reportMissing(LocatedValue parent, SettingsField field) {
        // UnknownFieldFinder has already reported a parent that is not an object.
        if (parent instanceof LocatedValue.Section) {
            mProblems.add(
                    parent.line(),
                    parent.column(),
                    field.path(),
                    "",
                    "the field is required; allowed is " + field.rule().allowed());
        }
    }

    private Optional<LocatedValue> find(String path) {
        LocatedValue current = mRoot;
        for (String name : path.split("\\.")) {
            if (!(current instanceof LocatedValue.Section section)
                    || !section.members().containsKey(name)) {
                return Optional.empty();
            }
            current = section.members().get(name).value();
        }
        return Optional.of(current);
    }

    private LocatedValue nearestSection(String path) {
        int dot = path.lastIndexOf('.');
        return dot < 0 ? mRoot : find(path.substring(0, dot)).orElse(mRoot);
    }

    private InetSocketAddress parseAddress(LocatedValue value, SettingsField field, String path) {
        if (value instanceof LocatedValue.Scalar scalar && scalar.isString()) {
            Optional<InetSocketAddress> address = AddressParser.parse(scalar.content());
            if (address.isPresent()) {
                return address.get();
            }
        }
        mProblems.add(
                value,
                path,
                "allowed is "
                        + field.rule().allowed()
                        + " (1 to 65535), for example \"127.0.0.1:7400\" or \"[::1]:7400\"");
        return PLACEHOLDER;
    }

    private Optional<Path> resolve(String text) {
        try {
            return Optional.of(mDirectory.resolve(text))
                    .filter(path -> Files.isRegularFile(path) && Files.isReadable(path));
        } catch (InvalidPathException malformed) {
            return Optional.empty();
        }
    }

    private void reportRange(LocatedValue value, SettingsField field) {
        String unit = field.unit().isEmpty() ? "" : " " + field.unit();
        mProblems.add(value, field.path(), "allowed is " + field.rule().allowed() + unit);
    }

    private static Optional<Long> parse(String digits) {
        try {
            return Optional.of(Long.parseLong(digits));
        } catch (NumberFormatException tooLarge) {
            return Optional.empty();
        }
    }

    private static Optional<Double> parseDecimal(String digits) {
        try {
            return Optional.of(Double.parseDouble(digits));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<NodeSettings.Role> parseRole(LocatedValue value) {
        if (!(value instanceof LocatedValue.Scalar scalar) || !scalar.isString()) {
            return Optional.empty();
        }
        return switch (scalar.content()) {
            case "viewer" -> Optional.of(NodeSettings.Role.VIEWER);
            case "operator" -> Optional.of(NodeSettings.Role.OPERATOR);
            default -> Optional.empty();
        };
    }
}

package org.arbutuslock.internal.settings;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Reports unknown fields and suggests the known field with the most similar name. */
final class UnknownFieldFinder {
    /** Largest edit distance of a suggestion; less similar names are rarely what was meant. */
    private static final int MAXIMUM_DISTANCE = 4;

    private final ProblemCollector mProblems;

    UnknownFieldFinder(ProblemCollector problems) {
        mProblems = problems;
    }

    void find(LocatedValue.Section section, String prefix) {
        Set<String> known = namesBelow(prefix);
        section.members()
                .forEach(
                        (name, member) -> {
                            String path = prefix + name;
                            if (!known.contains(name)) {
                                report(member, path, name, known);
                            } else if (!isField(path)) {
                                findBelow(member.value(), path);
                            }
                        });
    }

    private void findBelow(LocatedValue value, String path) {
        if (value instanceof LocatedValue.Section section) {
            find(section, path + ".");
            return;
        }
        mProblems.add(
                value,
                path,
                "allowed is an object with the fields "
                        + String.join(", ", namesBelow(path + ".")));
    }

    private void report(LocatedValue.Member member, String path, String name, Set<String> known) {
        Optional<String> nearest = nearest(name, known);
        mProblems.add(
                member.line(),
                member.column(),
                path,
                member.value().display(),
                "the field is unknown; "
                        + nearest.map(suggestion -> "did you mean \"" + suggestion + "\"?")
                                .orElse("allowed are " + String.join(", ", known)));
    }

    private static Optional<String> nearest(String name, Set<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(MAXIMUM_DISTANCE);
        return known.stream()
                .filter(candidate -> distance.apply(name, candidate) >= 0)
                .min(Comparator.comparingInt(candidate -> distance.apply(name, candidate)));
    }

    private static boolean isField(String path) {
        return Arrays.stream(SettingsField.values()).anyMatch(field -> field.path().equals(path));
    }

    private static Set<String> namesBelow(String prefix) {
        Set<String> names = new TreeSet<>();
        for (SettingsField field : SettingsField.values()) {
            if (field.path().startsWith(prefix)) {
                names.add(field.path().substring(prefix.length()).split("\\.")[0]);
            }
        }
        return names;
    }
}

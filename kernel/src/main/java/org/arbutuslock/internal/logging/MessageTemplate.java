package org.arbutuslock.internal.logging;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Message with numbered placeholders such as {@code {0}}. The template is parsed only once because
 * messages are formatted while requests are processed. Immutable.
 */
final class MessageTemplate {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{([0-9]{1,2})}");

    private final List<String> mLiterals = new ArrayList<>();
    private final List<Integer> mArguments = new ArrayList<>();

    /** Parses a template; braces around anything but one or two digits are literal text. */
    MessageTemplate(String text) {
        Matcher matcher = PLACEHOLDER.matcher(text);
        int end = 0;
        while (matcher.find()) {
            mLiterals.add(text.substring(end, matcher.start()));
            mArguments.add(Integer.parseInt(matcher.group(1)));
            end = matcher.end();
        }
        mLiterals.add(text.substring(end));
    }

    /** Appends the message to the target; a placeholder without an argument is copied unchanged. */
    void format(StringBuilder target, Object[] arguments) {
        for (int index = 0; index < mArguments.size(); index++) {
            int argument = mArguments.get(index);
            target.append(mLiterals.get(index));
            if (argument < arguments.length) {
                target.append(arguments[argument]);
            } else {
                target.append('{').append(argument).append('}');
            }
        }
        target.append(mLiterals.getLast());
    }
}

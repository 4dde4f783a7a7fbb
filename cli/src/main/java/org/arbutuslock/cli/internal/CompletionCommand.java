package org.arbutuslock.cli.internal;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints a shell completion script generated from the options of all subcommands. */
final class CompletionCommand implements Command {
    private static final Pattern OPTION = Pattern.compile("--[a-z][a-z-]*");

    private Map<String, Subparser> mParsersByPath = Map.of();

    /**
     * Sets the parsers of all subcommands by path. They include the parser of this command, so they
     * exist only after this command was added to the command line.
     */
    void setParsers(Map<String, Subparser> parsersByPath) {
        mParsersByPath = parsersByPath;
    }

    @Override
    public String path() {
        return "completion";
    }

    @Override
    public String help() {
        return "print a completion script, for example: source <(arbutuslock completion bash)";
    }

    @Override
    public void addArguments(ArgumentParser parser) {
        parser.addArgument("shell").choices("bash", "zsh").help("shell to complete for");
    }

    @Override
    public boolean callsNode() {
        return false;
    }

    @Override
    public ExitCode run(Namespace arguments, CommandContext context) {
        boolean zsh = "zsh".equals(arguments.getString("shell"));
        String prelude =
                zsh ? "#compdef arbutuslock\nautoload -U +X bashcompinit && bashcompinit\n" : "";
        context.output().printLine(prelude + createFunction());
        return ExitCode.DONE;
    }

    private String createFunction() {
        String cases =
                wordsByPath().entrySet().stream()
                        .map(
                                entry ->
                                        "        '"
                                                + entry.getKey()
                                                + "') words='"
                                                + entry.getValue())
                        .collect(Collectors.joining("' ;;\n", "", "' ;;"));
        return """
        _arbutuslock() {
            local typed='' words='' index word
            for ((index = 1; index < COMP_CWORD; index++)); do
                word=${COMP_WORDS[index]}
                case "${typed:+$typed }$word" in
                    PATHS) typed="${typed:+$typed }$word" ;;
                esac
            done
            case "$typed" in
        CASES
            esac
            COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
        }
        complete -o default -F _arbutuslock arbutuslock"""
                .replace("PATHS", joinPaths())
                .replace("CASES", cases);
    }

    private String joinPaths() {
        return wordsByPath().keySet().stream()
                .filter(path -> !path.isEmpty())
                .map(path -> "'" + path + "'")
                .collect(Collectors.joining("|"));
    }

    /** Maps each typed prefix ("", "service", "service list") to the words that may follow it. */
    private Map<String, String> wordsByPath() {
        Map<String, TreeSet<String>> words = new TreeMap<>();
        mParsersByPath.forEach(
                (path, parser) -> {
                    String parent = "";
                    for (String word : path.split(" ")) {
                        words.computeIfAbsent(parent, key -> new TreeSet<>()).add(word);
                        parent = parent.isEmpty() ? word : parent + " " + word;
                    }
                    words.put(
                            path,
                            OPTION.matcher(parser.formatUsage())
                                    .results()
                                    .map(MatchResult::group)
                                    .collect(Collectors.toCollection(TreeSet::new)));
                });
        return words.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry -> String.join(" ", entry.getValue()),
                                (left, right) -> left,
                                TreeMap::new));
    }
}

package org.arbutuslock.cli.internal;

import java.io.BufferedReader;

/**
 * Dependencies of a command while it runs.
 *
 * @param client calls the node; null for commands that call no node
 * @param options options that every subcommand has
 * @param output receives results and messages
 * @param input source of the operator's confirmations
 */
record CommandContext(
        OperatorsClient client, CommonOptions options, Output output, BufferedReader input) {}

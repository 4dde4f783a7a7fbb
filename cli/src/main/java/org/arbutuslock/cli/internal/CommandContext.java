package org.arbutuslock.cli.internal;

import java.io.BufferedReader;

/**
 * What a command works with.
 *
 * @param client calls the node; null for commands that call no node
 * @param options common options
 * @param output gets results and messages
 * @param input gives the operator's confirmations
 */
record CommandContext(
        OperatorsClient client, CommonOptions options, Output output, BufferedReader input) {}

package org.arbutuslock.internal.operators;

/** Message between the node that an operator is connected to and a home node. */
public sealed interface OperatorsMessage permits OperatorsRequest, OperatorsReply {
    /**
     * Returns the number that matches a reply with its request.
     *
     * @return number of the request, unique within one process run of the requesting node
     */
    long number();
}

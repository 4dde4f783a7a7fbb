package org.arbutuslock.internal.operators;

/** Message between the node that an operator talks to and a home node. */
public sealed interface OperatorsMessage permits OperatorsRequest, OperatorsReply {
    /**
     * Returns the number that connects a reply with its request.
     *
     * @return number of the request, unique within one run of the asking node
     */
    long number();
}

package org.arbutuslock.daemon.internal.exchange;

/**
 * Where a request was submitted. Contains what an outcome query needs.
 *
 * @param peerAddress session address of the home node
 * @param node name of the home node
 * @param incarnation incarnation of the home node
 * @param session session on which the request was submitted
 */
public record Submission(String peerAddress, String node, long incarnation, long session) {}

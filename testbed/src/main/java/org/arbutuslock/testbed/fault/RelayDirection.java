package org.arbutuslock.testbed.fault;

/** Direction of frames through a {@link FaultRelay}. */
public enum RelayDirection {
    /** From the connecting nodes to the node behind the relay. */
    TO_NODE,
    /** From the node behind the relay to the connecting nodes. */
    FROM_NODE
}

package org.arbutuslock.testbed.fault;

/** Direction of frames through a {@link FaultRelay}. */
public enum RelayDirection {
    /** From the connecting nodes to the target node of the relay. */
    TO_NODE,
    /** From the target node of the relay to the connecting nodes. */
    FROM_NODE
}

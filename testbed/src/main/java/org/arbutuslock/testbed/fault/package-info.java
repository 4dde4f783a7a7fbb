/** Fault injection between nodes, and checks of the results that callers get under faults. */
package org.arbutuslock.testbed.fault;

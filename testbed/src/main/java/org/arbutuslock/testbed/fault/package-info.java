/** Network faults between nodes, and checks of what callers saw under faults. */
package org.arbutuslock.testbed.fault;

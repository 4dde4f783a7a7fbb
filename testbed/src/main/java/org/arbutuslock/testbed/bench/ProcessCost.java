package org.arbutuslock.testbed.bench;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * Processor time and allocation of this process at one moment.
 *
 * @param cpuNanos processor time of all threads
 * @param allocatedBytes bytes that all threads, ended ones included, have allocated
 */
record ProcessCost(long cpuNanos, long allocatedBytes) {
    static ProcessCost now() {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        return new ProcessCost(system.getProcessCpuTime(), threads.getTotalThreadAllocatedBytes());
    }

    ProcessCost since(ProcessCost earlier) {
        return new ProcessCost(
                cpuNanos - earlier.cpuNanos, allocatedBytes - earlier.allocatedBytes);
    }

    ProcessCost plus(ProcessCost other) {
        return new ProcessCost(cpuNanos + other.cpuNanos, allocatedBytes + other.allocatedBytes);
    }
}

package org.arbutuslock.testbed.bench;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * Processor time and allocation of this process since its start, or between two moments.
 *
 * @param cpuNanos processor time of all threads
 * @param allocatedBytes bytes allocated by all threads, including threads that have ended
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

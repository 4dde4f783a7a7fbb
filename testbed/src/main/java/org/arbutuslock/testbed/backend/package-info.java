/** Simulated backend server whose faults can be switched at run time. */
package org.arbutuslock.testbed.backend;

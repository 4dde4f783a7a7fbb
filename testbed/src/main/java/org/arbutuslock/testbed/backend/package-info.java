/** Stand-in backend server whose faults are switched at run time. */
package org.arbutuslock.testbed.backend;

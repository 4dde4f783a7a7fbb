/** Stand-in for the platform's key-value store, with faults that are switched at run time. */
package org.arbutuslock.testbed.store;

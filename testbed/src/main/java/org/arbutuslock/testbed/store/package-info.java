/**
 * In-memory replacement for the platform's key-value store whose faults can be switched at run
 * time.
 */
package org.arbutuslock.testbed.store;

/**
 * Admission control of each backend server: concurrency limit, bounded queue, slots reserved for
 * short work.
 */
package org.arbutuslock.internal.admission;

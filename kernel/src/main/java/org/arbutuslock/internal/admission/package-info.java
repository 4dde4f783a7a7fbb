/** Concurrency limit, bounded queue and short-work reserve at each backend server. */
package org.arbutuslock.internal.admission;

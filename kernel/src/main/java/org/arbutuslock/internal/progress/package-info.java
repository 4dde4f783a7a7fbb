/** Detects backend servers that have stopped completing requests. */
package org.arbutuslock.internal.progress;

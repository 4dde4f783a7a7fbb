/** The home node's record of every request; sole authority for {@code not run}. */
package org.arbutuslock.internal.execution;

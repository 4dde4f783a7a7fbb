/** Messages between nodes that carry out the requests of operators. */
package org.arbutuslock.internal.operators;

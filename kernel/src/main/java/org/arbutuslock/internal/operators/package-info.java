/** Messages that forward requests of operators to home nodes. */
package org.arbutuslock.internal.operators;

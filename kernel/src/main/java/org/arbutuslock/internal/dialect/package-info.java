/**
 * Interfaces that isolate header names and configuration formats, so that a platform can replace
 * them.
 */
package org.arbutuslock.internal.dialect;

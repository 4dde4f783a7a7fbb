/**
 * Public API of arbutuslock: identifiers, configuration records, results, the clock, plug-ins and
 * the interface to the platform's key-value store. Everything else is under {@code
 * org.arbutuslock.internal}.
 */
package org.arbutuslock.api;

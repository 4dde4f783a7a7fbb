/** Reads the settings of a node from JSON with comments and validates the whole file at once. */
package org.arbutuslock.internal.settings;

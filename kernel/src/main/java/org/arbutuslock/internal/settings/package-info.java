/** Settings of a node: JSON with comments, validated as a whole before the node starts. */
package org.arbutuslock.internal.settings;

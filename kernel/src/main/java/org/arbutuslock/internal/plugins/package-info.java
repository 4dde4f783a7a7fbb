/** Starts, drains and stops the plug-ins of a node. */
package org.arbutuslock.internal.plugins;

/**
 * Header names of nodes that are not embedded in a platform, and the plug-in that provides them.
 */
package org.arbutuslock.daemon.internal.dialect;

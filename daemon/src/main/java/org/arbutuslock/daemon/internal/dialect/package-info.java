/** The product's own header names and the plug-in that provides them. */
package org.arbutuslock.daemon.internal.dialect;

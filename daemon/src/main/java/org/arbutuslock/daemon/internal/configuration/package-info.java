/** Plug-ins that keep the configuration in force at a node up to date. */
package org.arbutuslock.daemon.internal.configuration;

/** Keeps the configuration of a node up to date. */
package org.arbutuslock.daemon.internal.configuration;

/** Subcommands of the {@code arbutuslock} command, their options and their calls to a node. */
package org.arbutuslock.cli.internal;

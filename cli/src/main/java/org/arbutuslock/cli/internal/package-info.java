/** Subcommands of {@code arbutuslock}, their options and their calls to a node. */
package org.arbutuslock.cli.internal;

/** Entry point of the {@code arbutuslock} command, which changes and inspects a fleet of nodes. */
package org.arbutuslock.cli;

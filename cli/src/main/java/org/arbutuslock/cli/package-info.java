/** The {@code arbutuslock} command, with which operators change and inspect a fleet. */
package org.arbutuslock.cli;

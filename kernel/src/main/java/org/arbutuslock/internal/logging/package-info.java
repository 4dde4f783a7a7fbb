/** Numbered log events and the logger that writes them. */
package org.arbutuslock.internal.logging;

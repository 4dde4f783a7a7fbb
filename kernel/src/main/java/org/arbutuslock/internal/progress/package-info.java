/** Recognizes a backend server that has stopped completing its work. */
package org.arbutuslock.internal.progress;

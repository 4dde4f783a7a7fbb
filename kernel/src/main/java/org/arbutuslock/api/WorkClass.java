package org.arbutuslock.api;

/**
 * Class of the work that a request causes: short, such as a lookup, or long, such as a download.
 */
public enum WorkClass {
    /** Work that occupies a slot of a backend server for milliseconds. */
    SHORT,
    /** Work that occupies a slot many times longer than short work. */
    LONG
}

package org.arbutuslock.api;

/** Tells short work, such as lookups and orders, from long work, such as downloads. */
public enum WorkClass {
    /** Work that holds a slot of a backend server for milliseconds. */
    SHORT,
    /** Work that holds a slot many times longer than short work. */
    LONG
}

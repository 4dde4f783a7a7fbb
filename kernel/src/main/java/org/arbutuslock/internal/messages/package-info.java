/** Typed messages between nodes and their MessagePack codec. */
package org.arbutuslock.internal.messages;

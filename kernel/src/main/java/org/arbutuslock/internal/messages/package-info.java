/** Messages that nodes exchange over sessions, and their MessagePack codec. */
package org.arbutuslock.internal.messages;

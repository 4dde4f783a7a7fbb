/** Client of the platform's key-value store over gRPC. */
package org.arbutuslock.daemon.internal.store;

/** The gRPC service for operators: transport, authentication, roles and checks of requests. */
package org.arbutuslock.daemon.internal.operators;

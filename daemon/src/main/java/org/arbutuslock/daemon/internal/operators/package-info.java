/**
 * The gRPC service for operators: transport, authentication, roles, request validation and the
 * commands that it runs.
 */
package org.arbutuslock.daemon.internal.operators;

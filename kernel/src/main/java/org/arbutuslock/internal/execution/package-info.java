/**
 * Records of all requests at their home node. Only these records can prove that a request has not
 * run.
 */
package org.arbutuslock.internal.execution;

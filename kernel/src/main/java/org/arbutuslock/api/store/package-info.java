/** Narrow interface to the platform's key-value store, so that its protocol can be replaced. */
package org.arbutuslock.api.store;

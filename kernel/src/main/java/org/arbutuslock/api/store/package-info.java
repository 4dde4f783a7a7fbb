/** Minimal client interface of the platform's key-value store, independent of its protocol. */
package org.arbutuslock.api.store;

/** Configuration documents, their validation, the change log in the store and snapshots. */
package org.arbutuslock.internal.configuration;

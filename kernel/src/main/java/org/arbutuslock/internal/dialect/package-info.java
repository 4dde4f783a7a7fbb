/** Names under which requests carry what decisions need, so that they can be replaced. */
package org.arbutuslock.internal.dialect;

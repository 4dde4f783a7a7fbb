/** Limits the share of retries, so that retries cannot amplify an overload. */
package org.arbutuslock.internal.retry;

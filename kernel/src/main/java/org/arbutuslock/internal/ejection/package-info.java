/** Ejects sick endpoints and returns them, and maintains the floor of a service by pledges. */
package org.arbutuslock.internal.ejection;

/**
 * Ejects unhealthy endpoints and returns them to service. A protocol of reservations between the
 * endpoints of a service prevents ejections that would leave fewer endpoints in service than its
 * floor.
 */
package org.arbutuslock.internal.ejection;

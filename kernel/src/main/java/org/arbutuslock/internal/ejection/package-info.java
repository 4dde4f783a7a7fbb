/**
 * Ejects unhealthy endpoints and returns them to service. A protocol of pledges between the
 * endpoints of a service ensures that the number of endpoints in service does not drop below its
 * floor.
 */
package org.arbutuslock.internal.ejection;

package org.arbutuslock.api;

/**
 * Configuration of one tenant (a team). A request names its tenant in the header {@code
 * arbutuslock-tenant}.
 *
 * @param name unique name: letters, digits and hyphens, 1 to 63 characters
 * @param weight share of a contended queue relative to other tenants, 1 to 100; the default is 1
 */
public record TenantDefinition(String name, int weight) {}

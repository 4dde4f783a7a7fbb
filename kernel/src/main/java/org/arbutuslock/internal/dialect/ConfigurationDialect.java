package org.arbutuslock.internal.dialect;

import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.Configuration;

/**
 * Reads a configuration that operators keep in the platform's store in the platform's own format.
 */
public interface ConfigurationDialect {
    /**
     * Returns the key that holds the complete configuration.
     *
     * @return full key in the store
     */
    String key();

    /**
     * Parses a configuration.
     *
     * @param value value of the key
     * @param floorShare share of a service's endpoints that ejections must leave in service, 0 to 1
     * @return the configuration, or an error that names the invalid field and its allowed values
     */
    Result<Configuration> read(byte[] value, double floorShare);
}

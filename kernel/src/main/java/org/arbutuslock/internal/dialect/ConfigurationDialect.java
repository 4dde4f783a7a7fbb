package org.arbutuslock.internal.dialect;

import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.Configuration;

/** Reads a configuration that operators keep in the platform's store in a form of its own. */
public interface ConfigurationDialect {
    /**
     * Names the key that holds the whole configuration.
     *
     * @return full key in the store
     */
    String key();

    /**
     * Reads a configuration.
     *
     * @param value value of the key
     * @param floorShare share of a service's endpoints that ejections must leave, 0 to 1
     * @return the configuration, or which field is wrong and what is allowed there
     */
    Result<Configuration> read(byte[] value, double floorShare);
}

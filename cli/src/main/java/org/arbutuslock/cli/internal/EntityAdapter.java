package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;

/** Options and table columns of one kind of entity, for the commands that handle all kinds. */
interface EntityAdapter {
    EntityKind kind();

    /** Returns the name of this kind in commands and messages, for example "service". */
    String kindName();

    /**
     * Adds the options that set fields. Those of required fields are mandatory only for creation.
     */
    void addOptions(ArgumentParser parser, boolean forCreation);

    /**
     * Builds an entity from the options. Fields whose option is not given keep their existing
     * value, or their default value if there is no existing entity.
     *
     * @throws CommandException if the value of an option is malformed
     */
    Entity build(String name, Optional<Entity> existing, Namespace arguments)
            throws CommandException;

    /** Returns the column headings, one for each cell of {@link #cells(Entity)}. */
    List<String> headings();

    List<String> cells(Entity entity);
}

package org.arbutuslock.cli.internal;

import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;

/** What the commands need to know about one kind of entity. */
interface EntityAdapter {
    EntityKind kind();

    /** Returns the word for this kind in commands and messages. */
    String kindName();

    /** Adds the options that set fields; required fields are required only for creation. */
    void addOptions(ArgumentParser parser, boolean forCreation);

    /** Builds an entity from the options; fields without an option keep their value. */
    Entity build(String name, Optional<Entity> existing, Namespace arguments)
            throws CommandException;

    /** Returns the headings of a table, one for each cell of {@link #cells(Entity)}. */
    List<String> headings();

    List<String> cells(Entity entity);
}

package org.arbutuslock.testbed.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.internal.settings.NodeSettings;

/** Writes the settings file with which a node process starts. */
final class SettingsFile {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private SettingsFile() {}

    /**
     * Writes the settings that have no default to {@code <node name>.json} and returns its path.
     */
    static Path write(Path directory, NodeSettings settings) throws IOException {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("nodeName", settings.nodeName());
        root.put("region", settings.region());
        root.put("availabilityZone", settings.availabilityZone());
        putAddress(root, "callers", settings.callers().address());
        putAddress(root, "announcements", settings.announcements().address());
        putAddress(root, "operators", settings.operators().address());
        putAddress(root, "metrics", settings.metrics().address());
        putAddress(root, "store", settings.store().address());
        ObjectNode peers = putAddress(root, "peers", settings.peers().address());
        peers.put("advertisedAddress", Addresses.format(settings.peers().advertisedAddress()));
        var seeds = peers.putArray("seeds");
        settings.peers().seeds().forEach(seed -> seeds.add(Addresses.format(seed)));
        Path file = directory.resolve(settings.nodeName() + ".json");
        return Files.writeString(file, "// settings of a local node\n" + root.toPrettyString());
    }

    private static ObjectNode putAddress(
            ObjectNode root, String section, InetSocketAddress address) {
        ObjectNode node = root.putObject(section);
        node.put("address", Addresses.format(address));
        return node;
    }
}

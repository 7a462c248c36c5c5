package gingerspool.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.PersistedState;
import gingerspool.peers.Folders;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compatibility with disks recorded by an earlier version, each with about 90 changes, a snapshot
 * and a replaced member: members elect a leader from them, recognize changes that were already
 * accepted, and accept the next one.
 */
public class StoredDiskTest {
    private static final int LAST_VERSION = StoredDiskRecorder.CHANGES;
    private static final List<Integer> MEMBERS = List.of(0, 1, 3);
    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("stored");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    @DataProvider
    Object[][] formats() {
        return new Object[][] {{"form1"}, {"form2"}};
    }

    private void unpack(String format) throws IOException {
        try (InputStream in = getClass().getResourceAsStream("/stored/" + format + ".zip");
                ZipInputStream zip = new ZipInputStream(in)) {
            for (ZipEntry entry; (entry = zip.getNextEntry()) != null; ) {
                Path file = folder.resolve(entry.getName());
                Files.createDirectories(file.getParent());
                Files.copy(zip, file);
            }
        }
    }

    private StoredCore start() throws StorageException {
        StoredCore core = new StoredCore();
        for (int number : MEMBERS) {
            core.start(number, folder.resolve("node-" + number), false);
        }
        return core;
    }

    @Test(dataProvider = "formats")
    public void recordedDiskHoldsSnapshotEntriesAndMembers(String format) throws Exception {
        unpack(format);
        for (int number : MEMBERS) {
            try (DurableLog log = new DurableLog(folder.resolve("node-" + number), 128)) {
                PersistedState state = log.open().state();
                assertNotNull(state);
                assertTrue(state.snapshot().index() > 50, "snapshot " + state.snapshot().index());
                assertTrue(state.entries().size() > 5, "entries " + state.entries().size());
                assertFalse(state.snapshot().voters().isJoint());
                assertEquals(state.self().ip(), "10.0.0." + number);
                assertNotNull(state.votedFor());
            }
        }
    }

    @Test(dataProvider = "formats")
    public void membersResumeFromTheRecordedDiskAndAcceptTheNextChange(String format)
            throws Exception {
        unpack(format);
        try (StoredCore core = start()) {
            StoredCore.Node leader = core.leader();
            assertEquals(leader.state.version(), LAST_VERSION);
            assertEquals(
                    leader.replica.members().stream().map(m -> m.ip()).sorted().toList(),
                    List.of("10.0.0.0", "10.0.0.1", "10.0.0.3"));
            for (long version : new long[] {LAST_VERSION, 1, 40}) {
                ConfigurationState.ChangeResult repeated =
                        core.change(version == 1, version - 1, StoredCore.body(version));
                assertEquals(repeated.status(), ConfigurationState.ACCEPTED);
                assertEquals(repeated.version(), version);
            }
            assertEquals(leader.state.version(), LAST_VERSION);
            assertEquals(
                    core.change(false, LAST_VERSION - 1, StoredCore.body(LAST_VERSION + 1))
                            .status(),
                    ConfigurationState.VERSION_CONFLICT);
            assertEquals(
                    core.change(false, LAST_VERSION, StoredCore.body(LAST_VERSION + 1)).status(),
                    ConfigurationState.ACCEPTED);
            core.advance(1000);
        }
        try (StoredCore core = start()) {
            core.leader();
            for (StoredCore.Node node : core.nodes.values()) {
                assertEquals(node.state.version(), LAST_VERSION + 1);
                String text = new String(node.state.toJson(), StandardCharsets.UTF_8);
                assertTrue(text.contains("\"Unknown\":{\"a\":1.5}"), text);
                assertTrue(text.contains("\"Kept\":[1,\"x\"]"), text);
            }
        }
    }
}

package gingerspool.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationStateTest {
    private static final String SERVICE =
            "{\"Name\":\"s\",\"HealthPath\":null,\"MemoryMb\":128,"
                    + "\"BootMs\":500,\"MaxConcurrency\":1,\"Odd\":{\"x\":[1]}}";
    private final ConfigurationState configurationState = new ConfigurationState();

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static String route(String name, String prefix, String service, int timeout) {
        return "{\"Name\":\""
                + name
                + "\",\"HostName\":\"A.example\",\"PathPrefix\":\""
                + prefix
                + "\",\"RouteKind\":\"safe\",\"TimeoutMs\":"
                + timeout
                + ",\"Service\":\""
                + service
                + "\"}";
    }

    private static String configurationJson(int version, String routes) {
        return "{\"Version\":"
                + version
                + ",\"Routes\":["
                + routes
                + "],\"Services\":["
                + SERVICE
                + "]}";
    }

    private ConfigurationState.ChangeResult replace(long on, String text) {
        return configurationState.apply(true, on, bytes(text));
    }

    @Test
    public void acceptsOneChangePerVersionAndRecognizesRepeats() {
        String first = configurationJson(3, route("r", "/a/", "s", 100));
        assertEquals(replace(0, first).status(), 200);
        assertEquals(replace(0, configurationJson(5, "")).status(), 412);
        String second = configurationJson(7, route("r", "/b/", "s", 100));
        assertEquals(replace(3, second).status(), 200);
        assertEquals(replace(3, second).status(), 200, "a repeat");
        assertEquals(replace(0, first).status(), 200, "accepted before, but no longer in force");
        assertEquals(
                replace(3, configurationJson(7, "")).status(),
                412,
                "another change with the same version");
        assertEquals(configurationState.version(), 7);
    }

    /**
     * Guards operators who repeat a change after a long interruption, hundreds of versions later:
     * members recognize it, also if they restored a snapshot or were repaired meanwhile.
     */
    @Test
    public void recognizesRepeatsAfterManyVersionsASnapshotAndARepair() throws Exception {
        ConfigurationState first = new ConfigurationState();
        for (int version = 1; version <= 700; version++) {
            assertEquals(change(first, version).status(), 200);
        }
        ConfigurationState restored = new ConfigurationState();
        restored.restore(first.snapshot());
        ConfigurationState repaired = new ConfigurationState();
        repaired.repair(first.items());
        Map<String, String> items = first.items();
        for (ConfigurationState state : new ConfigurationState[] {first, restored, repaired}) {
            for (int version = 1; version <= 700; version++) {
                ConfigurationState.ChangeResult result = change(state, version);
                assertEquals(result.status(), 200, "version " + version);
                assertEquals(result.version(), version, "the version that it created");
            }
            assertEquals(state.version(), 700);
            assertEquals(state.items(), items);
            assertEquals(
                    state.apply(true, 8, bytes(configurationJson(9, route("x", "/x/", "s", 1))))
                            .status(),
                    412,
                    "another change with a version that exists already");
            assertEquals(
                    state.apply(true, 7, bytes(configurationJson(9, ""))).status(),
                    412,
                    "the same body for another base version");
            assertEquals(change(state, 701).status(), 200);
        }
    }

    private static ConfigurationState.ChangeResult change(ConfigurationState state, int version) {
        return state.apply(true, version - 1, bytes(configurationJson(version, "")));
    }

    @Test
    public void readsTheStateOfAnEarlierBuild() throws Exception {
        byte[] change = bytes(configurationJson(3, ""));
        byte[] digestPrefix = bytes("true 0 ");
        byte[] digested = Arrays.copyOf(digestPrefix, digestPrefix.length + change.length);
        System.arraycopy(change, 0, digested, digestPrefix.length, change.length);
        String digest =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(digested));
        ConfigurationState state = new ConfigurationState();
        state.restore(
                bytes(
                        "{\"tree\":%s,\"taken\":{\"3\":\"%s\"}}"
                                .formatted(configurationJson(3, ""), digest)));
        assertEquals(state.apply(true, 0, change).version(), 3);
    }

    @Test
    public void keepsABoundedNumberOfChangesAndDropsTheOldest() throws Exception {
        AcceptedChanges changes = new AcceptedChanges();
        int added = AcceptedChanges.MAX_CHANGES + 1000;
        for (int version = 1; version <= added; version++) {
            changes.add(2L * version, AcceptedChanges.digest(true, version, new byte[0]));
        }
        assertTrue(
                changes.size() <= AcceptedChanges.MAX_CHANGES && changes.size() > added - 1300,
                "" + changes.size());
        AcceptedChanges copy = AcceptedChanges.fromBlocks(changes.blocks());
        for (int age = 0; age < changes.size(); age += 97) {
            int version = added - age;
            byte[] digest = AcceptedChanges.digest(true, version, new byte[0]);
            assertTrue(copy.contains(2L * version, digest), "" + age);
            assertFalse(copy.contains(2L * version + 1, digest));
        }
        assertFalse(copy.contains(2, AcceptedChanges.digest(true, 1, new byte[0])));
        assertEquals(copy.blocks(), changes.blocks());
    }

    @DataProvider
    Object[][] invalid() {
        return new Object[][] {
            {"{\"Version\":9,\"Routes\":[", "wanted"},
            {configurationJson(9, route("r", "/a/", "s", 1)).substring(0, 80), "wanted"},
            {"", "wanted"},
            {"[]", "object"},
            {configurationJson(2, ""), "Version 2"},
            {configurationJson(0, ""), "Version"},
            {configurationJson(9, route("r", "/a/", "s", -1)), "TimeoutMs"},
            {configurationJson(9, route("r", "/a/", "", 1)), "Service"},
            {configurationJson(9, splitRoute(0, 0)), "weights"},
            {configurationJson(3, ""), "Version 3"},
            {"{\"Routes\":[]}", "Version"},
            {"{\"Version\":9,\"Routes\":7}", "outes"},
            {configurationJson(9, route("r", "/a/", "none", 1)), "none"},
            {configurationJson(9, route("r", "/a/", "s", 0)), "TimeoutMs"},
            {
                configurationJson(9, route("r", "/a/", "s", 1) + "," + route("q", "/a/", "s", 1)),
                "\"r\""
            },
            {
                configurationJson(9, route("r", "/a/", "s", 1) + "," + route("r", "/b/", "s", 1)),
                "\"r\""
            }
        };
    }

    private static String splitRoute(int firstWeight, int secondWeight) {
        return ("{\"Name\":\"w\",\"HostName\":\"h\",\"PathPrefix\":\"/w/\",\"Service\":\"s\","
                        + "\"Split\":[{\"Service\":\"s\",\"Weight\":%d},"
                        + "{\"Service\":\"s\",\"Weight\":%d}]}")
                .formatted(firstWeight, secondWeight);
    }

    @DataProvider
    Object[][] valid() {
        String noTimeout =
                "{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/\",\"Service\":\"s\"}";
        return new Object[][] {
            {configurationJson(9, "")},
            {configurationJson(4, route("r", "/a/", "s", 1))},
            {configurationJson(1_000_000_007, route("r", "/a/", "s", 1))},
            {configurationJson(9, noTimeout)},
            {configurationJson(9, route("r", "/a/", "s", 1) + "," + route("q", "/a/b/", "s", 1))},
            {configurationJson(9, splitRoute(0, 3))},
            {"{\"Version\":9}"},
            {"{\"Version\":9,\"Routes\":null,\"Services\":[],\"New\":[{\"Weight\":0}]}"},
            {
                configurationJson(
                        9, route("r", "/a/", "s", 1).replace("}", ",\"Tags\":[],\"Odd\":[1,2]}"))
            }
        };
    }

    @Test(dataProvider = "valid")
    public void acceptsValidConfigurations(String text) {
        ConfigurationState fresh = new ConfigurationState();
        fresh.apply(true, 0, bytes(configurationJson(3, route("keep", "/k/", "s", 5))));
        ConfigurationState.ChangeResult result = fresh.apply(true, 3, bytes(text));
        assertEquals(result.status(), 200, result.message());
    }

    @Test(dataProvider = "invalid")
    public void rejectsInvalidConfigurationsAndNamesTheItem(String text, String expectedText) {
        ConfigurationState fresh = new ConfigurationState();
        fresh.apply(true, 0, bytes(configurationJson(3, route("keep", "/k/", "s", 5))));
        byte[] before = fresh.toJson();
        ConfigurationState.ChangeResult result = fresh.apply(true, 3, bytes(text));
        assertEquals(result.status(), 400);
        assertTrue(result.message().contains(expectedText), result.message());
        assertEquals(fresh.toJson(), before, "the configuration is unchanged");
    }

    @Test
    public void changesItemsByNameAndKeepsUnknownFields() throws Exception {
        ConfigurationState original = new ConfigurationState();
        original.apply(
                true,
                0,
                bytes(
                        configurationJson(
                                3,
                                route("r", "/a/", "s", 100) + "," + route("old", "/o/", "s", 1))));
        String change =
                "{\"Version\":4,\"Upserts\":{\"Routes\":["
                        + route("r", "/a/", "s", 50)
                        + ","
                        + route("n", "/a/b/", "s", 60)
                        + "]},\"Removals\":{\"Routes\":[\"old\"]}}";
        assertEquals(original.apply(false, 3, bytes(change)).status(), 200);
        RouteTable routeTable = new RouteTable(original.configuration());
        assertEquals(routeTable.find("a.EXAMPLE:80", "/a/x").getTimeout(), 50);
        assertEquals(
                routeTable.find("a.example", "/a/b/c?d=/o/").getName(),
                "n",
                "the longest prefix wins");
        assertNull(routeTable.find("a.example", "/o/x"));
        assertNull(routeTable.find("b.example", "/a/x"));
        ConfigurationState copyOfOriginal = new ConfigurationState();
        copyOfOriginal.restore(original.snapshot());
        Object read = Json.read(copyOfOriginal.toJson(), 0, copyOfOriginal.toJson().length);
        assertEquals(
                JsonTree.at(((java.util.List<?>) JsonTree.at(read, "Services")).get(0), "Odd", "x")
                        .toString(),
                "[1.0]");
        assertEquals(
                copyOfOriginal.apply(false, 3, bytes(change)).status(),
                200,
                "recognized after a snapshot");
        assertEquals(copyOfOriginal.version(), 4);
    }

    /**
     * A state converted to items and back is the same. Items that are not a valid configuration
     * leave the state unchanged.
     */
    @Test
    public void repairReproducesTheStateFromItsItems() throws Exception {
        ConfigurationState original = new ConfigurationState();
        byte[] sent =
                ("{\"Version\":3,\"Extra/field\":{\"a\":[1,null]},\"Routes\":["
                                + "{\"Name\":\"r\",\"Service\":\"s\","
                                + "\"PathPrefix\":\"/\",\"HostName\":\"h\"}],\"Services\":[{\"Name\":\"s\"}],\"Empty\":[]}")
                        .getBytes(StandardCharsets.UTF_8);
        assertEquals(original.apply(true, 0, sent).status(), ConfigurationState.ACCEPTED);
        ConfigurationState copy = new ConfigurationState();
        copy.repair(original.items());
        assertEquals(copy.items(), original.items());
        assertEquals(
                Json.read(new String(copy.toJson(), StandardCharsets.UTF_8)),
                Json.read(new String(sent, StandardCharsets.UTF_8)));
        assertEquals(
                copy.apply(true, 0, sent).status(),
                ConfigurationState.ACCEPTED,
                "the copy recognizes the change that created its version");
        Map<String, String> incompleteItems = new HashMap<>(original.items());
        incompleteItems.remove("L/Routes/0");
        assertThrows(InvalidConfigurationException.class, () -> copy.repair(incompleteItems));
        assertEquals(copy.items(), original.items());
    }
}

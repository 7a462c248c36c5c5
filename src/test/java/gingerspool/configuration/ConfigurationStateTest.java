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

    private static String whole(int version, String routes) {
        return "{\"Version\":"
                + version
                + ",\"Routes\":["
                + routes
                + "],\"Services\":["
                + SERVICE
                + "]}";
    }

    private ConfigurationState.Verdict replace(long on, String text) {
        return configurationState.apply(true, on, bytes(text));
    }

    @Test
    public void takesOneOfTwoOnAVersionAndKnowsWhatComesAgain() {
        String first = whole(3, route("r", "/a/", "s", 100));
        assertEquals(replace(0, first).status(), 200);
        assertEquals(replace(0, whole(5, "")).status(), 412);
        String second = whole(7, route("r", "/b/", "s", 100));
        assertEquals(replace(3, second).status(), 200);
        assertEquals(replace(3, second).status(), 200, "the same again");
        assertEquals(replace(0, first).status(), 200, "taken before, though no longer in force");
        assertEquals(replace(3, whole(7, "")).status(), 412, "another under the same number");
        assertEquals(configurationState.version(), 7);
    }

    /**
     * A repeat may come after a long cut, hundreds of versions later, from wherever the state is.
     */
    @Test
    public void knowsARepeatAfterHundredsOfVersionsASnapshotAndARepair() throws Exception {
        ConfigurationState first = new ConfigurationState();
        for (int version = 1; version <= 700; version++) {
            assertEquals(change(first, version).status(), 200);
        }
        ConfigurationState restored = new ConfigurationState();
        restored.restore(first.state());
        ConfigurationState repaired = new ConfigurationState();
        repaired.repair(first.items());
        Map<String, String> items = first.items();
        for (ConfigurationState state : new ConfigurationState[] {first, restored, repaired}) {
            for (int version = 1; version <= 700; version++) {
                ConfigurationState.Verdict v = change(state, version);
                assertEquals(v.status(), 200, "version " + version);
                assertEquals(v.version(), version, "the version that it made");
            }
            assertEquals(state.version(), 700);
            assertEquals(state.items(), items);
            assertEquals(
                    state.apply(true, 8, bytes(whole(9, route("x", "/x/", "s", 1)))).status(),
                    412,
                    "another under a number that was taken");
            assertEquals(
                    state.apply(true, 7, bytes(whole(9, ""))).status(),
                    412,
                    "the same content on another version");
            assertEquals(change(state, 701).status(), 200);
        }
    }

    private static ConfigurationState.Verdict change(ConfigurationState state, int version) {
        return state.apply(true, version - 1, bytes(whole(version, "")));
    }

    @Test
    public void readsTheStateOfAnEarlierBuild() throws Exception {
        byte[] change = bytes(whole(3, ""));
        byte[] before = bytes("true 0 ");
        byte[] digested = Arrays.copyOf(before, before.length + change.length);
        System.arraycopy(change, 0, digested, before.length, change.length);
        String digest =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(digested));
        ConfigurationState state = new ConfigurationState();
        state.restore(
                bytes("{\"tree\":%s,\"taken\":{\"3\":\"%s\"}}".formatted(whole(3, ""), digest)));
        assertEquals(state.apply(true, 0, change).version(), 3);
    }

    @Test
    public void remembersSoManyAndForgetsTheOldestFirst() throws Exception {
        AcceptedChanges all = new AcceptedChanges();
        int added = AcceptedChanges.MAX_CHANGES + 1000;
        for (int version = 1; version <= added; version++) {
            all.add(2L * version, AcceptedChanges.digest(true, version, new byte[0]));
        }
        assertTrue(
                all.size() <= AcceptedChanges.MAX_CHANGES && all.size() > added - 1300,
                "" + all.size());
        AcceptedChanges copy = AcceptedChanges.fromBlocks(all.blocks());
        for (int back = 0; back < all.size(); back += 97) {
            int version = added - back;
            byte[] digest = AcceptedChanges.digest(true, version, new byte[0]);
            assertTrue(copy.contains(2L * version, digest), "" + back);
            assertFalse(copy.contains(2L * version + 1, digest));
        }
        assertFalse(copy.contains(2, AcceptedChanges.digest(true, 1, new byte[0])));
        assertEquals(copy.blocks(), all.blocks());
    }

    @DataProvider
    Object[][] invalid() {
        return new Object[][] {
            {"{\"Version\":9,\"Routes\":[", "wanted"},
            {whole(9, route("r", "/a/", "s", 1)).substring(0, 80), "wanted"},
            {"", "wanted"},
            {"[]", "object"},
            {whole(2, ""), "Version 2"},
            {whole(0, ""), "Version"},
            {whole(9, route("r", "/a/", "s", -1)), "TimeoutMs"},
            {whole(9, route("r", "/a/", "", 1)), "Service"},
            {whole(9, split(0, 0)), "weights"},
            {whole(3, ""), "Version 3"},
            {"{\"Routes\":[]}", "Version"},
            {"{\"Version\":9,\"Routes\":7}", "outes"},
            {whole(9, route("r", "/a/", "none", 1)), "none"},
            {whole(9, route("r", "/a/", "s", 0)), "TimeoutMs"},
            {whole(9, route("r", "/a/", "s", 1) + "," + route("q", "/a/", "s", 1)), "\"r\""},
            {whole(9, route("r", "/a/", "s", 1) + "," + route("r", "/b/", "s", 1)), "\"r\""}
        };
    }

    private static String split(int one, int other) {
        return ("{\"Name\":\"w\",\"HostName\":\"h\",\"PathPrefix\":\"/w/\",\"Service\":\"s\","
                        + "\"Split\":[{\"Service\":\"s\",\"Weight\":%d},"
                        + "{\"Service\":\"s\",\"Weight\":%d}]}")
                .formatted(one, other);
    }

    @DataProvider
    Object[][] valid() {
        String noTimeout =
                "{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/\",\"Service\":\"s\"}";
        return new Object[][] {
            {whole(9, "")},
            {whole(4, route("r", "/a/", "s", 1))},
            {whole(1_000_000_007, route("r", "/a/", "s", 1))},
            {whole(9, noTimeout)},
            {whole(9, route("r", "/a/", "s", 1) + "," + route("q", "/a/b/", "s", 1))},
            {whole(9, split(0, 3))},
            {"{\"Version\":9}"},
            {"{\"Version\":9,\"Routes\":null,\"Services\":[],\"New\":[{\"Weight\":0}]}"},
            {whole(9, route("r", "/a/", "s", 1).replace("}", ",\"Tags\":[],\"Odd\":[1,2]}"))}
        };
    }

    @Test(dataProvider = "valid")
    public void takesWhateverIsValid(String text) {
        ConfigurationState fresh = new ConfigurationState();
        fresh.apply(true, 0, bytes(whole(3, route("keep", "/k/", "s", 5))));
        ConfigurationState.Verdict v = fresh.apply(true, 3, bytes(text));
        assertEquals(v.status(), 200, v.text());
    }

    @Test(dataProvider = "invalid")
    public void refusesWithTheItemsName(String text, String named) {
        ConfigurationState fresh = new ConfigurationState();
        fresh.apply(true, 0, bytes(whole(3, route("keep", "/k/", "s", 5))));
        byte[] before = fresh.text();
        ConfigurationState.Verdict v = fresh.apply(true, 3, bytes(text));
        assertEquals(v.status(), 400);
        assertTrue(v.text().contains(named), v.text());
        assertEquals(fresh.text(), before, "nothing of it is taken");
    }

    @Test
    public void changesItemsByNameAndKeepsWhatItDoesNotKnow() throws Exception {
        ConfigurationState a = new ConfigurationState();
        a.apply(
                true,
                0,
                bytes(whole(3, route("r", "/a/", "s", 100) + "," + route("old", "/o/", "s", 1))));
        String change =
                "{\"Version\":4,\"Upserts\":{\"Routes\":["
                        + route("r", "/a/", "s", 50)
                        + ","
                        + route("n", "/a/b/", "s", 60)
                        + "]},\"Removals\":{\"Routes\":[\"old\"]}}";
        assertEquals(a.apply(false, 3, bytes(change)).status(), 200);
        RouteTable t = new RouteTable(a.configuration());
        assertEquals(t.find("a.EXAMPLE:80", "/a/x").getTimeout(), 50);
        assertEquals(
                t.find("a.example", "/a/b/c?d=/o/").getName(), "n", "the longest prefix counts");
        assertNull(t.find("a.example", "/o/x"));
        assertNull(t.find("b.example", "/a/x"));
        ConfigurationState b = new ConfigurationState();
        b.restore(a.state());
        Object read = Json.read(b.text(), 0, b.text().length);
        assertEquals(
                JsonTree.at(((java.util.List<?>) JsonTree.at(read, "Services")).get(0), "Odd", "x")
                        .toString(),
                "[1.0]");
        assertEquals(
                b.apply(false, 3, bytes(change)).status(), 200, "known again after a snapshot");
        assertEquals(b.version(), 4);
    }

    /**
     * A copy goes as items and comes back the same; items that make no configuration leave all as
     * it was.
     */
    @Test
    public void aCopyIsMadeOfItsItems() throws Exception {
        ConfigurationState whole = new ConfigurationState();
        byte[] sent =
                ("{\"Version\":3,\"Extra/field\":{\"a\":[1,null]},\"Routes\":["
                                + "{\"Name\":\"r\",\"Service\":\"s\","
                                + "\"PathPrefix\":\"/\",\"HostName\":\"h\"}],\"Services\":[{\"Name\":\"s\"}],\"Empty\":[]}")
                        .getBytes(StandardCharsets.UTF_8);
        assertEquals(whole.apply(true, 0, sent).status(), ConfigurationState.ACCEPTED);
        ConfigurationState copy = new ConfigurationState();
        copy.repair(whole.items());
        assertEquals(copy.items(), whole.items());
        assertEquals(
                Json.read(new String(copy.text(), StandardCharsets.UTF_8)),
                Json.read(new String(sent, StandardCharsets.UTF_8)));
        assertEquals(
                copy.apply(true, 0, sent).status(),
                ConfigurationState.ACCEPTED,
                "it knows what made its version");
        Map<String, String> lacking = new HashMap<>(whole.items());
        lacking.remove("L/Routes/0");
        assertThrows(InvalidConfigurationException.class, () -> copy.repair(lacking));
        assertEquals(copy.items(), whole.items());
    }
}

package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Profile;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reading, defaults and error messages of the configuration of a daemon. */
public class ConfigurationTest {
    static final String SETTINGS =
            "{'profiles':[{'name':'p','effect':'safe','dueTimeMs':100,"
                    + "'expiryMs':5000}],'limits':{'mostAssignments':2,'maxOpen':9},"
                    + "'specifics':{'classStretch':[2],'reportX0':'free slots'}}";
    static final String NODE =
            "{'name':'n1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
                    + "'seed':'8c1f30d27a5be964','limits':{'sockets':128},'settings':"
                    + SETTINGS
                    + "}";

    static Object parse(String text) throws BadMessage {
        return Json.read(text.replace('\'', '"'));
    }

    @Test
    public void readsSettingsAndAppliesDefaults() throws BadMessage, ConfigurationException {
        Configuration c = new Configuration(parse(SETTINGS));
        Profile p = c.profiles.get("p");
        assertEquals(p.effect, Profile.Effect.IDEMPOTENT);
        assertEquals(p.stretch, 2.0);
        assertEquals(p.kind, -1);
        assertEquals(c.maxTasks, 9);
        assertEquals(c.connectTimeout, 250.0);
        assertEquals(c.settings.order, DispatcherSettings.Order.FIRST_COME);
    }

    /** An unknown effect must be treated as the one that allows least. */
    @Test
    public void unknownEffectIsSideEffecting() throws BadMessage, ConfigurationException {
        Configuration c = new Configuration(parse(SETTINGS.replace("safe", "odd")));
        assertEquals(c.profiles.get("p").effect, Profile.Effect.SIDE_EFFECTING);
    }

    @Test
    public void environmentSuppliesKeysMissingFromTheFile()
            throws BadMessage, ConfigurationException {
        NodeConfiguration n =
                new NodeConfiguration(
                        parse(NODE.replace("'listen':'127.0.0.1:0',", "")),
                        Map.of("GW_LISTEN", "127.0.0.1:7"));
        assertEquals(n.listen.getPort(), 7);
        assertEquals(n.seed, 0x8c1f30d27a5be964L);
    }

    /**
     * The daemon has no connection to other schedulers, so an attempt to message them must not make
     * a send fail.
     */
    @Test
    public void daemonDisablesMessagesToOtherSchedulers()
            throws BadMessage, ConfigurationException {
        String text = SETTINGS.replace("'maxOpen':9", "'maxOpen':9,'mayTell':true");
        assertTrue(new Configuration(parse(text)).settings.mayMessagePeers);
        NodeConfiguration n = new NodeConfiguration(parse(NODE.replace(SETTINGS, text)), Map.of());
        assertEquals(n.deployment.settings.mayMessagePeers, false);
        assertEquals(n.deployment.settings.probeFee, 0.0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                "'profiles'",
                "'goal':{'tail':0.4},'profiles'",
                "settings.goal.borneMisses is missing, and goal.tail needs it"
            },
            {"'profiles'", "'goal':{'tail':-1},'profiles'", "settings.goal.tail is negative"},
            {"'profiles'", "'fees':{'probe':-5},'profiles'", "settings.fees.probe is negative"},
            {
                "'profiles'",
                "'fees':{'peer':'dear'},'profiles'",
                "settings.fees.peer is not a number"
            },
            {
                "'maxOpen':9",
                "'maxOpen':9,'mayTell':1",
                "settings.limits.mayTell is not true or false"
            },
            {
                "'effect':'safe'",
                "'effect':'safe','oneAtATime':true",
                "settings.profiles[0].oneAtATime asks for one task per key at a time, which is no longer supported"
            },
            {
                "'profiles'",
                "'obligations':{'drainBindsAlone':'yes'},'profiles'",
                "settings.obligations.drainBindsAlone is not true or false"
            },
            {
                "'effect':'safe'",
                "'effect':'safe','oneAtATime':1",
                "settings.profiles[0].oneAtATime is not true or false"
            },
            {"'name':'p'", "'nom':'p'", "settings.profiles[0].name is missing"},
            {
                "'dueTimeMs':100",
                "'dueTimeMs':'soon'",
                "settings.profiles[0].dueTimeMs is not a number"
            },
            {"'dueTimeMs':100", "'dueTimeMs':-1", "settings.profiles[0].dueTimeMs is negative"},
            {"'seed':", "'management':'here:1','seed':", "management is not an address: here:1"},
            {"'seed':", "'management':7,'seed':", "management is not text"},
            {"[{'name'", "[],'x':[{'name'", "settings.profiles has no entry"},
            {"'maxOpen':9", "'maxOpen':[]", "settings.limits.maxOpen is not a number"},
            {
                "'classStretch':[2]",
                "'classStretch':2",
                "settings.specifics.classStretch is not a list"
            },
            {"'settings':", "'set':", "settings is missing"},
            {"'sockets':128", "'sockets':5", "limits.sockets is under 64"},
            {
                "'listen':'127.0.0.1:0'",
                "'listen':'localhost:80'",
                "listen is not an address: localhost:80"
            },
            {"'discovery':'127.0.0.1:1',", "", "discovery is missing"},
            {"'8c1f30d27a5be964'", "'seed'", "seed is not a number"},
            {"'8c1f30d27a5be964'", "7", "seed is not text"},
        };
    }

    @Test(dataProvider = "faults")
    public void messageNamesTheInvalidKey(String original, String replacement, String message) {
        ConfigurationException e =
                expectThrows(
                        ConfigurationException.class,
                        () ->
                                new NodeConfiguration(
                                        parse(NODE.replace(original, replacement)), Map.of()));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }

    @Test
    public void unreadableConfigurationExitsWithTwo() {
        assertEquals(Daemon.serve(Map.of()), 2);
        assertEquals(Daemon.serve(Map.of("GW_CONFIG", "/nowhere/config.json")), 2);
    }
}

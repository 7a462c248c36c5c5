package gingerspool.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsTest {
    /** A valid settings file, with a key that is not known. */
    static final String VALID =
            """
        NodeName = "front-a-1"
        IpAddress = "10.1.0.3"
        Zone = "a"
        InternalPortRange = [7400,7415]
        SeedNodes = ["10.1.0.6:8248"]
        FirstStart = true
        NewKey = {x = 1}
        [Zones]
        b = "r"
        a = "r"
        [ListenAddresses]
        FrontAddress = "10.1.0.3:8241"
        [Bounds]
        GracePeriodS = 6
        """;

    private static NodeSettings read(String text) throws Exception {
        Path file = Files.createTempFile("settings", ".toml");
        Files.writeString(file, text);
        return NodeSettings.read(Map.of(NodeSettings.PATH_VARIABLE, file.toString()));
    }

    @Test
    public void readsSettingsAndIgnoresUnknownKeys() throws Exception {
        NodeSettings settings = read(VALID);
        assertEquals(settings.internalPort, 7400);
        assertEquals(settings.zones.toString(), "[a, b]");
        assertEquals(settings.gracePeriod, 6000.0);
        assertEquals(settings.frontAddress.getPort(), 8241);
        assertTrue(settings.firstStart);
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {"10.1.0.3:8241", "localhost:1", ":12: ListenAddresses.FrontAddress"},
            {"[7400,7415]", "[0]", ":4: InternalPortRange"},
            {"FirstStart = true", "FirstStart = 1", ":6: FirstStart"},
            {"Zone = \"a\"", "", "Zone is missing"},
            {"GracePeriodS = 6", "GracePeriodS = \"6\"", "GracePeriodS"},
            {"[Zones]", "[Zones", "is not TOML"}
        };
    }

    @Test(dataProvider = "faults")
    public void faultNamesFileLineAndKey(String original, String replacement, String expectedText) {
        SettingsException exception =
                expectThrows(
                        SettingsException.class, () -> read(VALID.replace(original, replacement)));
        assertTrue(exception.getMessage().contains(expectedText), exception.getMessage());
    }

    @Test
    public void namesTheMissingVariable() {
        SettingsException exception =
                expectThrows(SettingsException.class, () -> NodeSettings.read(Map.of()));
        assertTrue(exception.getMessage().contains(NodeSettings.PATH_VARIABLE));
    }
}

package gingerspool.toml;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UnitsTest {
    @DataProvider
    Object[][] numbers() {
        return new Object[][] {
            {5.0, "5"},
            {-2.0, "-2"},
            {0.25, "0.25"},
            {1.0 / 3, "0.333333"},
            {0.1 + 0.2, "0.3"},
            {1e-9, "0"},
            {1e15, "1000000000000000"},
            {1e20, "100000000000000000000"},
            {Double.POSITIVE_INFINITY, "Infinity"},
            {Double.NaN, "NaN"},
        };
    }

    @Test(dataProvider = "numbers")
    public void aNumberHasNoEmptyFraction(double number, String text) {
        assertEquals(Units.plain(number), text);
    }

    @Test
    public void aSpanIsWrittenInTheLargestUnitThatIsShort() {
        assertEquals(Units.text(120_000), "2min");
        assertEquals(Units.text(1500), "1.5s");
        assertEquals(Units.text(250), "250ms");
        assertEquals(Units.text(0.5), "0.5ms");
        assertEquals(Units.text(Double.POSITIVE_INFINITY), "no end");
    }
}

package gingerspool.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** A small run over the real code: what must grow grows, and the tables say where it leads. */
public class CapacityTest {
    private Measurement measured;

    @BeforeClass
    public void measure() throws Exception {
        Scale scale = new Scale(20, 1, 2, 300, 3);
        measured = Measurement.run(scale, new PrintWriter(new StringWriter()));
    }

    private LinearFit fit(String key) {
        return measured.byKey().get(key).fit();
    }

    /** Bytes and messages are counted, so that chance and other load have no part in them. */
    @Test
    public void whatIsCountedGrowsAlongALine() {
        for (String key :
                List.of(
                        "push.bytes",
                        "configuration.push.bytes",
                        "configuration.snapshot.bytes",
                        "consensus.learner.bytes",
                        "consensus.change.bytes.members",
                        "consensus.idle.bytes",
                        "platform.list.bytes",
                        "scheduler.holdings.bytes",
                        "link.slot.frames",
                        "link.slot.bytes")) {
            assertTrue(fit(key).slope() > 0, key);
            assertTrue(fit(key).rSquared() > 0.99, key + " " + fit(key).rSquared());
        }
    }

    /** A slot is asked for, given and returned, and what is lacked is told: four messages. */
    @Test
    public void aSlotTakesFourMessages() {
        assertEquals(fit("link.slot.frames").slope(), 4, 0.3);
    }

    /** A push is the whole configuration, to the byte but for the frame and its number. */
    @Test
    public void aPushIsTheWholeConfiguration() {
        double perFunction = fit("configuration.push.bytes").slope();
        assertEquals(fit("push.bytes").slope(), perFunction, 0.02 * perFunction);
    }

    /** Every registration tells all who are registered how many they are. */
    @Test
    public void registrationsTellEachOtherByPairs() {
        assertEquals(fit("link.register.counts").slope(), 1, 0.05);
    }

    /** Over these ratios of sizes even a busy machine's processor times come out in order. */
    @Test
    public void timesOfWorkOnEveryItemGrow() {
        for (String key :
                List.of(
                        "keeper.tick",
                        "scaler.tick.functions",
                        "configuration.change",
                        "configuration.compare",
                        "configuration.push.apply",
                        "platform.list.time")) {
            assertTrue(fit(key).slope() > 0, key);
        }
    }

    @Test
    public void everySeriesHasFiveSizesAtLeast() {
        for (Series s : measured.series()) {
            long sizes = s.fit().points().stream().map(LinearFit.Point::size).distinct().count();
            assertTrue(sizes >= 5, s.key() + " " + sizes);
        }
    }

    @Test
    public void theTablesNameWhatDoesNotFit() {
        StringWriter text = new StringWriter();
        new CapacityReport(measured, true, new PrintWriter(text)).print();
        String page = text.toString();
        measured.series().forEach(s -> assertTrue(page.contains("`" + s.key() + "`"), s.key()));
        Map<Boolean, List<Projection>> all =
                new Target(measured)
                        .projections().stream()
                                .filter(p -> !Double.isNaN(p.budget()))
                                .collect(
                                        java.util.stream.Collectors.partitioningBy(
                                                Projection::fits));
        assertFalse(all.get(true).isEmpty());
        assertTrue(all.get(false).stream().anyMatch(p -> p.figure().contains("pushed whole")));
        assertTrue(page.contains("**no**"));
        assertFalse(page.contains("NaN"), page);
    }

    @Test
    public void quantitiesReadAsPeopleWriteThem() {
        assertEquals(Quantity.text(75e6, "B"), "75.0 MB");
        assertEquals(Quantity.text(1500, "us"), "1.50 ms");
        assertEquals(Quantity.text(32_000, "us/s"), "0.0320 cores");
        assertEquals(Quantity.text(13_000, "1"), "13.0 k");
        assertEquals(Quantity.text(0.579, "1/s"), "0.579 /s");
        assertEquals(Quantity.text(-2, ""), "-2.00");
    }
}

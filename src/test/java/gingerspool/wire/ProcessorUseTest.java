package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the explanation of late answers: a thread's processor use is parsed correctly. */
public class ProcessorUseTest {
    @Test
    public void nanosecondsAreConvertedToMilliseconds() {
        ProcessorUse use = ProcessorUse.parse("1500000 2500000 7\n").orElseThrow();
        assertEquals(use.ranMs(), 1.5);
        assertEquals(use.waitedMs(), 2.5);
        assertEquals(use.since(new ProcessorUse(1, 1)), new ProcessorUse(0.5, 1.5));
    }

    @DataProvider
    public Object[][] unreadable() {
        return new Object[][] {{""}, {"1"}, {"a b c"}, {"1 b"}};
    }

    @Test(dataProvider = "unreadable")
    public void unreadableLineIsEmpty(String line) {
        assertEquals(ProcessorUse.parse(line), Optional.empty());
    }
}

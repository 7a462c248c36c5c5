package gingerspool.experiment;

import static org.testng.Assert.assertEquals;

import gingerspool.judge.Judge;
import gingerspool.peers.Folders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request to a worker under a ban counts from when it came, not from when it was read. */
public class BanRuleTest {
    private static final String CLIENTS =
            "begin\t0\t1000\n" + "scheduler\t0\tsuspended w1\t100\nscheduler\t0\tresumed w1\t500\n";

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("bans");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    /** What the worker noted of a request, and whether it breaks the ban from 100 to 500. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"first=400 came=90", false},
            {"first=400 came=149", false},
            {"first=400 came=160", true},
            {"first=400", true},
            {"first=700 came=400", true},
            {"first=700 came=520", false},
        };
    }

    /** Guards schedulers against a stand-in that reads late, and the ban against their sends. */
    @Test(dataProvider = "requests")
    public void aSendCountsFromWhenItCame(String detail, boolean breaks) throws IOException {
        Path clients = Files.writeString(folder.resolve("clients.tsv"), CLIENTS);
        String log = "0\tfleet\trules\t-\t-\tgrace=0 deemed=0\n" + "400\tw1\tasked\tt1\t0\t";
        Path executions = Files.writeString(folder.resolve("e.tsv"), log + detail + "\n");
        List<Judge.Rule> found =
                Judge.judge(clients, executions).violations().stream()
                        .map(Judge.Violation::rule)
                        .toList();
        assertEquals(found, breaks ? List.of(Judge.Rule.BANS) : List.of());
    }
}

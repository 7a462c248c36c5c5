package gingerspool.experiment;

import static org.testng.Assert.assertEquals;

import gingerspool.judge.Judge;
import gingerspool.load.OperatorCall;
import gingerspool.peers.Folders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A scheduler answered 503 to each operators' call for 8 s while the judge said that all rules
 * held: calls were repeated until one was answered yes. Each is judged by itself now.
 */
public class OperatorCallsTest {
    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("operators");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    /** Status, how long it took in ms, whether it was owed; and whether that breaks the rule. */
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {200, 20, true, false},
            {200, 1040, true, false},
            {200, 1060, true, true},
            {503, 20, true, true},
            {404, 20, true, true},
            {0, 1000, true, true},
            {503, 20, false, false},
            {0, 1500, false, false},
        };
    }

    /** Guards the judge: a no, silence and a late yes are breaches where a yes is owed. */
    @Test(dataProvider = "ends")
    public void aCallThatIsOwedAYesGetsItInTime(int answer, int took, boolean owed, boolean breaks)
            throws IOException {
        Path clients =
                Files.writeString(
                        folder.resolve("c.tsv"),
                        "begin\t0\t1000\noperators\t1\t/v1/scheduler/drain\t100.000\t"
                                + (100 + took)
                                + "\t"
                                + answer
                                + "\t"
                                + owed
                                + "\n");
        Path executions =
                Files.writeString(
                        folder.resolve("e.tsv"), "0\tfleet\trules\t-\t-\tgrace=0 deemed=0\n");
        List<Judge.Rule> found =
                Judge.judge(clients, executions).violations().stream()
                        .map(Judge.Violation::rule)
                        .toList();
        assertEquals(found, breaks ? List.of(Judge.Rule.OPERATORS) : List.of());
    }

    /** Answers each call with the next of these statuses. */
    private static Thread answering(ServerSocket at, List<Integer> statuses) {
        Thread thread =
                new Thread(
                        () -> {
                            for (int status : statuses) {
                                try (Socket call = at.accept()) {
                                    call.getInputStream().read(new byte[4096]);
                                    String answer =
                                            "HTTP/1.1 "
                                                    + status
                                                    + " x\r\nContent-Length: 0\r\n"
                                                    + "Connection: close\r\n\r\n";
                                    call.getOutputStream()
                                            .write(answer.getBytes(StandardCharsets.US_ASCII));
                                } catch (IOException e) {
                                    return;
                                }
                            }
                        },
                        "answering");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * What Operators writes of calls that are answered so; time passes by 3 s between yes and call.
     */
    private static List<OperatorCall> written(List<Integer> statuses, boolean ends)
            throws Exception {
        List<OperatorCall> written = new ArrayList<>();
        Set<Process> ending = new HashSet<>();
        double[] now = {0};
        Operators operators = new Operators(() -> now[0], ending::contains, written::add);
        Process process = new ProcessBuilder("true").start();
        try (ServerSocket at = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread server = answering(at, statuses);
            operators.serves(
                    0, new InetSocketAddress(at.getInetAddress(), at.getLocalPort()), process);
            if (ends) {
                ending.add(process);
            }
            now[0] = 3000;
            operators.call(0, "/v1/scheduler/drain");
            server.join();
        }
        return written;
    }

    /** Guards the record: a no that a later yes hides is written down, and owed. */
    @Test
    public void eachCallIsWrittenDown() throws Exception {
        List<OperatorCall> written = written(List.of(503, 404, 200), false);
        assertEquals(written.stream().map(OperatorCall::answer).toList(), List.of(503, 404, 200));
        assertEquals(written.stream().map(OperatorCall::owed).toList(), List.of(true, true, true));
    }

    /** Guards against a breach that is none: a process that was told to end owes nothing. */
    @Test
    public void aProcessThatEndsOwesNoYes() throws Exception {
        assertEquals(
                written(List.of(503, 200), true).stream().map(OperatorCall::owed).toList(),
                List.of(false, false));
    }
}

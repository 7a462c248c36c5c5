package gingerspool.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;

public class CommandsTest {
    private static final String GOOD =
            "[profile.p]\neffect = \"idempotent\"\nexpiry = \"5s\"\n"
                    + "[[route]]\nname = \"a\"\nmatch = { path = \"/p/x\" }\ntimeout = \"1s\"\nassignments = 2\n"
                    + "[[route]]\nname = \"b\"\nmatch = { tenant = \"t\" }\n";

    private Path file;
    private StringWriter out;
    private StringWriter err;

    @BeforeMethod
    public void make() throws IOException {
        file = Files.createTempFile("gingerspool", ".toml");
        Files.writeString(file, GOOD);
    }

    @AfterMethod
    public void remove() throws IOException {
        Files.delete(file);
    }

    private int run(String... args) {
        out = new StringWriter();
        err = new StringWriter();
        CommandLine line = Commands.commandLine();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(args);
    }

    @Test
    public void checkNamesAllFaultsOfAllFilesAtOnce() throws IOException {
        assertEquals(run("check", file.toString()), 0);
        Files.writeString(file, GOOD + "assigments = 2\n[limits]\ntasks = -1\n");
        assertEquals(run("check", file.toString(), "/none/such.toml"), 2);
        assertTrue(
                err.toString().contains(file + ":12: route[1].assigments is not a key here"),
                err.toString());
        assertTrue(err.toString().contains(file + ":14: limits.tasks is -1"), err.toString());
        assertTrue(err.toString().contains("/none/such.toml: does not exist"), err.toString());
    }

    @Test
    public void explainTellsWhereEachValueWasSaid() {
        assertEquals(run("explain", file.toString()), 0);
        assertTrue(
                out.toString().matches("(?s).*profile.p.expiry = 5s +# " + file + ":3\n.*"),
                out.toString());
        assertTrue(
                out.toString().matches("(?s).*limits.tasks = 20000 +# default\n.*"),
                out.toString());
        assertTrue(
                out.toString().matches("(?s).*  timeout = 1s +# " + file + ":7\n.*"),
                out.toString());
    }

    @Test
    public void routesTellsWhichAndWhy() {
        assertEquals(
                run("routes", file.toString(), "--profile", "p", "--path", "/p/y", "--tenant", "t"),
                0);
        assertTrue(
                out.toString().contains("a (" + file + ":4): path does not match /p/x"),
                out.toString());
        assertTrue(out.toString().contains("route b takes it"), out.toString());
        assertEquals(run("routes", file.toString(), "--profile", "p"), 0);
        assertTrue(out.toString().contains("no route takes it"), out.toString());
        assertEquals(run("routes", file.toString(), "--profile", "q"), 2);
    }

    @Test
    public void theRestAnswers() {
        assertEquals(run("version"), 0);
        assertTrue(out.toString().startsWith("gingerspool "));
        assertEquals(run("completion"), 0);
        assertTrue(out.toString().contains("complete -F _complete_gingerspool"), out.toString());
        assertEquals(run("help"), 0);
        assertEquals(run("help", "routes"), 0);
    }

    @DataProvider
    public Object[][] wrong() {
        return new Object[][] {
            {new String[0]},
            {new String[] {"nonsense"}},
            {new String[] {"check"}},
            {new String[] {"explain"}},
            {new String[] {"explain", "a", "b"}},
            {new String[] {"routes", "x"}},
            {new String[] {"serve", "--fil", "x"}},
            {new String[] {"serve", "x"}},
            {new String[] {"serve", "--file", "/none/such.toml"}},
            {new String[] {"check", "\0"}},
            {new String[] {"check", ""}},
            {new String[] {"experiment", "/none/such.toml", "--out", "/tmp/x"}},
            {new String[] {"experiment", "x.toml"}},
            {new String[] {"judge", "/none/a", "/none/b"}},
            {new String[] {"load", "/none/such.toml", "--schedulers", "127.0.0.1:1"}},
            {new String[] {"standin", "/none/such.toml", "--schedulers", "10.0.0.1:1"}}
        };
    }

    @Test(dataProvider = "wrong")
    public void whatCannotBeUsedIsExitCodeTwo(String[] args) {
        assertEquals(run(args), 2, err.toString());
    }
}

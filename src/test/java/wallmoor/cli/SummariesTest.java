package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Runs the {@code summaries} commands on the example rows. */
public class SummariesTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private Path dir;

    @Before
    public void build() throws Exception {
        dir = folder.newFolder("dir").toPath();
        for (String site : List.of("clifton", "lahore", "suva")) {
            Console result = Console.run("summaries", "build", "example/rows-" + site + ".csv", "--site", site, "--out",
                    dir.resolve(site + ".summary").toString());
            assertEquals(result.err(), 0, result.code());
        }
    }

    private String askedSites(String... options) {
        var args = new java.util.ArrayList<>(List.of("summaries", "sites", "--dir", dir.toString(), "--json"));
        args.addAll(List.of(options));
        Console result = Console.run(args.toArray(String[]::new));
        assertEquals(result.err(), 0, result.code());
        return result.out().replaceAll(",\"skip.*|\\s", "");
    }

    @Test
    public void listsOnlySitesThatCanMatch() {
        assertEquals("{\"ask\":[\"clifton\",\"lahore\",\"suva\"]", askedSites());
        assertEquals("{\"ask\":[\"clifton\",\"lahore\",\"suva\"]", askedSites("--where", "colour=red"));
        assertEquals("{\"ask\":[\"lahore\"]", askedSites("--where", "city= LAHORE "));
        assertEquals("{\"ask\":[\"clifton\"]", askedSites("--where", "seats=12.0"));
        assertEquals("{\"ask\":[\"lahore\"]", askedSites("--where", "price=121.."));
        assertEquals("{\"ask\":[\"lahore\"]", askedSites("--where", "class=suv", "--datetime", "2026-12-08/.."));
        assertEquals("{\"ask\":[\"suva\"]", askedSites("--bbox", "178,-20,-178,-15"));
        assertEquals("{\"ask\":[]", askedSites("--where", "plate=ZZZ-1"));
        Console result = Console.run("summaries", "sites", "--dir", dir.toString(), "--json", "--where", "city=Suva");
        assertEquals(
                "{\"ask\":[\"suva\"],\"skip\":[{\"site\":\"clifton\",\"because\":\"city is none of its 1 values\"},"
                        + "{\"site\":\"lahore\",\"because\":\"city is none of its 1 values\"}]}\n",
                result.out());
    }

    @Test
    public void listsSitesWithUnreadableSummaries() throws Exception {
        byte[] encoded = Files.readAllBytes(dir.resolve("lahore.summary"));
        Files.write(dir.resolve("lahore.summary"), java.util.Arrays.copyOf(encoded, encoded.length / 2));
        Files.write(dir.resolve("other.summary"), new byte[0]);
        Console result = Console.run("summaries", "sites", "--dir", dir.toString(), "--json", "--where", "city=Suva");
        assertEquals(0, result.code());
        assertTrue(result.out(), result.out().startsWith("{\"ask\":[\"lahore\",\"other\",\"suva\"],"));
        assertTrue(result.err(), result.err().contains("lahore.summary: the summary is torn") && result.err()
                .contains("send or build it again"));
        assertEquals(2, Console.run("summaries", "show", dir.resolve("lahore.summary").toString()).code());
    }

    @Test
    public void reportsInvalidInput() throws Exception {
        String[][] cases = {{"a,lon,lat\n1,2,3\n1,2\n", "line 3 has 2 cells"}, {"a,lon,lat\n\"x\ny\",2,3\n1,200,3\n",
            "line 4 has invalid coordinates"},
            {"a,datetime\n1,yesterday\n", "line 2 has an invalid datetime"}, {"a,a\n1,2\n", "is not valid CSV"},
            {"", "has no header"}, {"a\n\"open\n", "is not valid CSV"}};
        Path rows = folder.getRoot().toPath().resolve("rows.csv");
        for (String[] testCase : cases) {
            Files.writeString(rows, testCase[0]);
            Console result = Console.run("summaries", "build", rows.toString(), "--site", "s", "--out", dir.resolve("s")
                    .toString());
            assertEquals(testCase[1], 2, result.code());
            assertTrue(result.err(), result.err().contains(testCase[1]));
        }
        assertTrue("no summary is written for invalid rows", !Files.exists(dir.resolve("s")));
        for (String[] option : new String[][] {{"--bbox", "1,2,3"}, {"--datetime", "soon"}, {"--where", "city"},
            {"--where", "price=9..1"}}) {
            Console result = Console.run("summaries", "sites", "--dir", dir.toString(), option[0], option[1]);
            assertEquals(2, result.code());
            assertTrue(result.err(), result.err().contains(option[0]));
        }
        assertEquals(2, Console.run("summaries", "sites", "--dir", dir.resolve("none").toString()).code());
    }

    @Test
    public void showsAndExplainsSummary() {
        String file = dir.resolve("suva.summary").toString();
        String shown = Console.run("summaries", "show", file).out();
        assertTrue(shown,
                shown.contains("2 rows") && shown.contains("property price: 2 values, numbers from 55 to 95"));
        String explained = Console.run("summaries", "explain", file, "--where", "city=Nadi", "--where", "hue=red",
                "--bbox", "170,-20,-170,0").out();
        assertTrue(explained, explained.contains("--where city=Nadi: cannot, ")
                && explained.contains("--where hue=red: unknown, ")
                && explained.contains("--bbox 170,-20,-170,0: could match, ")
                && explained.contains("skip suva: cannot"));
    }
}

package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Feature servers that lease summaries to the real program, which skips a server whose summary excludes a query. */
public class PruneTest {
    private static final String NO_CHECKS = "{share: 0}";
    private static final String CHECK_EVERY_QUERY = "{share: 1, per_second: 1000, burst: 1000}";
    private static final Pattern NEXT_LINK = Pattern.compile("\"href\":\"http://localhost([^\"]*)\",\"rel\":\"next\"");
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private RowFleet fleet;
    private RowFleet.Front front;

    /** Starts four sites, two in each process, with five rows each: those of fs0 in city-0 at 0 degrees, and so on. */
    @Before
    public void startSites() throws Exception {
        var rows = new ArrayList<String>();
        for (int i = 0; i < 20; i++) {
            int site = i % 4;
            rows.add(site + ",r" + i + ",city-" + site + "," + (10 * site + i % 3) + "," + 20 * site + "," + site
                    + ",2026-0" + (site + 1) + "-05");
        }
        fleet = new RowFleet(folder.getRoot().toPath(), 4, 2, 1000, rows);
    }

    @After
    public void stop() throws Exception {
        fleet.close();
    }

    private Client.Answer get(Map<String, String> query) throws IOException {
        return Client.get(front.port(), RowFleet.target(query, 100));
    }

    /** Waits until the gatherer holds promised summaries of at least this many sites. */
    private void awaitPruned(int minSites) throws Exception {
        Program.await("summaries of " + minSites, () -> {
            try {
                return pruned(get(Map.of("city", "none"))) >= minSites;
            } catch (IOException e) {
                return false;
            }
        });
    }

    private static int pruned(Client.Answer page) {
        var matcher = java.util.regex.Pattern.compile("\"pruned\":(\\d+)").matcher(page.body);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    private boolean logged(String text) {
        return List.copyOf(front.program().log).stream().anyMatch(l -> l.contains(text));
    }

    private static Set<String> ids(String... ids) {
        return Set.of(ids);
    }

    @Test
    public void queriesOnlyMatchingSitesAndReturnsEachRowOnce() throws Exception {
        front = fleet.gatherer("all", fleet.section(NO_CHECKS));
        awaitPruned(4);
        long before = fleet.parts();
        var page = get(Map.of("city", "city-1"));
        assertEquals(ids("r1", "r5", "r9", "r13", "r17"), RowFleet.ids(page.body));
        assertTrue(page.body, page.body.contains("\"complete\":true,\"pruning\":{\"asked\":1,\"pruned\":3}"));
        assertEquals(before + 1, fleet.parts());
        assertEquals(ids("r0", "r1", "r4", "r5", "r8", "r9", "r12", "r13", "r16", "r17"),
                RowFleet.ids(get(Map.of("bbox", "-1,-1,21,2")).body));
        assertEquals(before + 3, fleet.parts());
        assertEquals(3, pruned(get(Map.of("datetime", "2026-03-01/2026-03-20"))));
        assertEquals(4, pruned(get(Map.of("city", "city-1", "bbox", "59,-1,61,4"))));
        assertTrue(get(Map.of("city", "none")).body.contains("\"numberReturned\":0,\"complete\":true"));
        assertEquals("a value that may be a pattern prunes no site", 0, pruned(get(Map.of("city", "city*"))));
        var seen = new ArrayList<String>();
        String target = RowFleet.target(Map.of("bbox", "-1,-1,21,2"), 3);
        for (int pages = 0; target != null; pages++) {
            assertTrue(pages < 10);
            var next = Client.get(front.port(), target);
            seen.addAll(RowFleet.ids(next.body));
            var matcher = NEXT_LINK.matcher(next.body);
            target = matcher.find() ? matcher.group(1) : null;
        }
        assertEquals(10, seen.size());
        assertEquals(10, new TreeSet<>(seen).size());
    }

    @Test
    public void countsMinimumShareOverAllSitesAndNeverPrunesPausedSite() throws Exception {
        front = fleet.gatherer("any", fleet.section(NO_CHECKS)); // this class answers with half of the shares
        awaitPruned(4);
        Program.signal(fleet.processes[0], "STOP");
        try {
            long at = System.nanoTime();
            var page = get(Map.of("city", "city-1"));
            assertTrue(page.body, page.body.contains("\"complete\":false,\"missingShards\":[1],"
                    + "\"pruning\":{\"asked\":1"));
            assertTrue(page.body, page.body.contains("cursor=1.0"));
            Thread.sleep(Math.max(0, 1200 - (System.nanoTime() - at) / 1_000_000));
            assertEquals("only the paused process has expired promises", 2,
                    pruned(get(Map.of("city", "none"))));
        } finally {
            Program.signal(fleet.processes[0], "CONT");
        }
        awaitPruned(4);
        assertEquals(5, RowFleet.ids(get(Map.of("city", "city-1")).body).size());
    }

    /** Compares each answer with the rows confirmed before its query was sent, also while processes are paused. */
    @Test
    public void missesNoRowDuringWritesAndPauses() throws Exception {
        front = fleet.gatherer("all", fleet.section("{share: 0.02, per_second: 1000, burst: 1000}"));
        awaitPruned(4);
        var isOver = new AtomicBoolean();
        var incompleteAnswers = new AtomicInteger();
        var problems = new ConcurrentLinkedQueue<String>();
        var answers = new AtomicInteger();
        var prunedSites = new AtomicInteger();
        var writes = new AtomicInteger();
        var threads = new ArrayList<Thread>();
        for (int t = 0; t < 4; t++) {
            var random = new Random(t);
            boolean isWriter = t < 2;
            threads.add(new Thread(() -> {
                while (!isOver.get()) {
                    try {
                        int site = random.nextInt(4);
                        if (isWriter) {
                            int n = writes.incrementAndGet();
                            fleet.write(site, "w" + n + ",city-" + random.nextInt(40) + "," + random.nextInt(60) + ","
                                    + random.nextInt(160) + "," + random.nextInt(60) + ",2026-0" + (1
                                            + random.nextInt(9))
                                    + "-05");
                            Thread.sleep(30);
                            continue;
                        }
                        var query = switch (random.nextInt(4)) {
                            case 0 -> Map.of("city", "city-" + random.nextInt(40));
                            case 1 -> Map.of("price", "" + random.nextInt(60));
                            case 2 -> Map.of("datetime", "2026-0" + (1 + random.nextInt(9)) + "-05");
                            default -> Map.of("bbox", random.nextInt(150) + "," + random.nextInt(60) + ",160,60");
                        };
                        Set<String> expected = fleet.expected(query);
                        var page = Client.get(front.port(), RowFleet.target(query, 1000));
                        if (page.status == 200 && page.body.contains("\"complete\":true")) {
                            answers.incrementAndGet();
                            prunedSites.addAndGet(pruned(page));
                            expected.removeAll(RowFleet.ids(page.body));
                            if (!expected.isEmpty()) {
                                incompleteAnswers.incrementAndGet();
                                problems.add(query + " lacks " + expected);
                            }
                        }
                    } catch (IOException | InterruptedException e) {
                        problems.add(e.toString());
                    }
                }
            }));
        }
        threads.forEach(Thread::start);
        try {
            for (Process paused : new Process[] {front.program().process, fleet.processes[0],
                front.program().process}) {
                Thread.sleep(900);
                Program.signal(paused, "STOP");
                Thread.sleep(1700); // longer than its promises: rows written meanwhile are confirmed without it
                Program.signal(paused, "CONT");
            }
            Thread.sleep(1500);
        } finally {
            isOver.set(true);
            for (Thread t : threads) {
                t.join(10_000);
            }
        }
        assertEquals(problems.toString(), 0, incompleteAnswers.get());
        assertTrue(answers + " answers, " + prunedSites + " sites pruned, " + writes + " writes " + problems,
                answers.get() > 50 && prunedSites.get() > 20 && writes.get() > 50);
        assertFalse("no correct summary is distrusted", logged("is taken out"));
    }

    @Test
    public void queriesAgainAfterPausePastThePromise() throws Exception {
        front = fleet.gatherer("all", fleet.section(NO_CHECKS));
        awaitPruned(4);
        Program.signal(front.program().process, "STOP");
        try (var client = new Client(front.port())) {
            long at = System.nanoTime();
            fleet.write(2, "late,city-far,1,170,50,2026-09-09");
            long took = (System.nanoTime() - at) / 1_000_000;
            assertTrue("the write waits until the promise expires, ms: " + took, took >= 300 && took < 1500);
            client.send("GET " + RowFleet.target(Map.of("city", "city-far"), 10)
                    + " HTTP/1.1\r\nHost: localhost\r\n\r\n");
            Program.signal(front.program().process, "CONT");
            assertEquals(ids("late"), RowFleet.ids(client.answer().body));
        } finally {
            Program.signal(front.program().process, "CONT");
        }
    }

    @Test
    public void restartedSiteConfirmsNoRowThatAnOldPromiseExcludes() throws Exception {
        front = fleet.gatherer("all", fleet.section(NO_CHECKS));
        awaitPruned(4);
        // the gatherer still holds the summary of the site, which keeps only its rows
        fleet.processes[1].destroyForcibly().onExit().join();
        Files.writeString(folder.getRoot().toPath().resolve("fs2.csv"), "", java.nio.file.StandardOpenOption.APPEND);
        fleet.launch(1, 2, false);
        var written = CompletableFuture.runAsync(() -> {
            try {
                fleet.write(2, "new,city-new,1,170,50,2026-09-09");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        long at = System.nanoTime();
        while (!written.isDone()) {
            get(Map.of("city", "city-new"));
        }
        written.join();
        assertEquals(ids("new"), RowFleet.ids(get(Map.of("city", "city-new")).body));
        assertTrue("the write waits for one lifetime", System.nanoTime() - at > 500_000_000L);
        awaitPruned(4);
        assertEquals(ids("new"), RowFleet.ids(get(Map.of("city", "city-new")).body));
    }

    @Test
    public void distrustsFalseSummaryUntilItsSiteIsReadmitted() throws Exception {
        front = fleet.gatherer("all", fleet.section(CHECK_EVERY_QUERY));
        Thread.sleep(500);
        fleet.post(3, "/write?past=1", "hidden,city-hidden,1,60,3,2026-04-05");
        Program.await("the false summary is detected", () -> {
            try {
                get(Map.of("city", "city-hidden"));
                return logged("the summary of fs3 block rows-3 epoch 1 version 1 excluded rows that it has");
            } catch (IOException e) {
                return false;
            }
        });
        String all = Files.readString(front.operator());
        for (String sites : List.of(all.replace(",fs3]", "]"), all)) { // removed by the operator, then added
            Files.writeString(front.operator(), sites);
            front.program().log.clear();
            front.program().hangUp();
            Program.await("SIGHUP", () -> logged("configuration read again"));
            for (int i = 0; i < 20; i++) { // longer than a promise: no summary of the site is held, so it is queried
                assertEquals(ids("hidden"), RowFleet.ids(get(Map.of("city", "city-hidden")).body));
                Thread.sleep(50);
            }
            assertEquals("only a readmitted site is found wrong again", sites.equals(all),
                    logged("the summary of fs3 block rows-3"));
        }
    }

    @Test
    public void reportsTornSummariesAndQueriesTheirSite() throws Exception {
        front = fleet.gatherer("all", fleet.section(NO_CHECKS));
        awaitPruned(4);
        for (String mode : List.of("torn", "short", "huge", "kind")) {
            fleet.post(1, "/mode?is=" + mode, "");
            Program.await(mode, () -> {
                try {
                    var page = get(Map.of("city", "none"));
                    return page.status == 200 && pruned(page) == 3;
                } catch (IOException e) {
                    return false;
                }
            });
            assertEquals(5, RowFleet.ids(get(Map.of("city", "city-1")).body).size());
            fleet.post(1, "/mode?is=", "");
            awaitPruned(4);
        }
        assertTrue(logged("is torn"));
        assertTrue(logged("of kind"));
        assertTrue(logged("server=fs1 error=a summary of 200000 bytes: raise summaries.most_bytes"));
    }
}

package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/**
 * Guards against pages that lack rows because a gatherer left out a site that the active rule version does not allow it
 * to leave out. Four real gatherers agree on rules, one of them is cut off during a change, and rows are written
 * meanwhile.
 */
public class AgreedPruningTest {
    private static final long TERM_MILLIS = 2_000;
    private static final int PROPOSAL_WAIT_SECONDS = 15;
    private static final int[] SERVING_GATHERERS = {0, 1, 3};
    private static final String LABELS = "\"summary.fs0\":\"1\",\"summary.fs1\":\"1\",\"summary.fs2\":\"1\","
            + "\"summary.fs3\":\"1\"}";
    private static final String TWO_PRUNABLE = "{\"prunable\":[\"fs0\",\"fs1\"]," + LABELS;
    /** Adds two prunable sites and excludes one by {@code ask_again}. */
    private static final String THREE_PRUNABLE = "{\"prunable\":[\"fs0\",\"fs1\",\"fs2\",\"fs3\"],"
            + "\"ask_again\":[\"fs0\"]," + LABELS;
    private static final String ONE_PRUNABLE = THREE_PRUNABLE.replace("[\"fs0\"]", "[\"fs0\",\"fs1\",\"fs2\"]");
    /** The most sites that a page may leave out if no row matches its query, by its header Wallmoor-Rules. */
    private static final Map<String, Integer> MAX_PRUNED = Map.of("summaries=0;basis=none", 0,
            "summaries=1;basis=version", 2,
            "summaries=1;to=2;basis=careful", 1, "summaries=2;basis=version", 3, "summaries=2;to=3;basis=careful", 1,
            "summaries=3;basis=version", 1);
    private static final Pattern PRUNED = Pattern.compile("\"pruned\":(\\d+)");

    /** A page of a query that no row matches. The times are of the monotonic clock that all processes share. */
    private record Page(int gatherer, long startedNanos, long endedNanos, String rules, int pruned) {}

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final int[] ports = {0, 0, -1, 0}; // the third gatherer only votes and serves no pages
    private final ConcurrentLinkedQueue<Page> pages = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private RowFleet fleet;
    private RulesGroup group;

    @After
    public void stop() throws Exception {
        stopped.set(true);
        if (group != null) {
            group.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    private String sections(int gatherer) {
        try {
            return ports[gatherer] < 0 ? "" : fleet.ogc("all", ports[gatherer]) + fleet.section("{share: 0}")
                    + "logging:\n  levels: {ogc: debug}\n";
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static String row(String id, int city) {
        return id + ",city-" + city + "," + city + "," + city + ",1,2026-01-05";
    }

    /** Requests a page and checks it against the rows confirmed before the request and the rules that it names. */
    private void readPage(int gatherer, Random random) {
        try {
            boolean matchesNoRow = random.nextBoolean();
            var q = Map.of("city", matchesNoRow ? "none" : "city-" + random.nextInt(12));
            var expected = fleet.expected(q);
            long startedNanos = System.nanoTime();
            var answer = Client.get(ports[gatherer], RowFleet.target(q, 1000));
            if (answer.status != 200 || !answer.body.contains("\"complete\":true")) {
                return;
            }
            expected.removeAll(RowFleet.ids(answer.body));
            String rules = answer.header("Wallmoor-Rules");
            var pruned = PRUNED.matcher(answer.body);
            int prunedSites = pruned.find() ? Integer.parseInt(pruned.group(1)) : -1;
            int maxPruned = rules != null && rules.endsWith("basis=fallback") ? 0
                    : MAX_PRUNED.getOrDefault("" + rules, -1);
            if (!expected.isEmpty() || prunedSites < 0 || prunedSites > maxPruned) {
                faults.add("m" + gatherer + " with rules " + rules + " left out " + prunedSites + " sites, at most "
                        + maxPruned + " allowed, for " + q + "; missing rows " + expected);
            }
            if (matchesNoRow) {
                pages.add(new Page(gatherer, startedNanos, System.nanoTime(), rules, prunedSites));
            }
        } catch (IOException e) {
            // the gatherer does not listen yet or has stopped
        }
    }

    private void run(Random random, ThreadWork work) {
        var thread = new Thread(() -> {
            while (!stopped.get()) {
                work.run(random);
                try {
                    Thread.sleep(15);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        threads.add(thread);
        thread.start();
    }

    private interface ThreadWork {
        void run(Random random);
    }

    private void await(int gatherer, String rules, int pruned) throws InterruptedException {
        long from = System.nanoTime();
        awaitAny("m" + gatherer + " with rules " + rules + " leaves out " + pruned + " sites",
                p -> p.gatherer == gatherer && p.startedNanos > from
                        && ("" + p.rules).endsWith(rules) && p.pruned == pruned);
    }

    private void awaitAny(String what, Predicate<Page> condition) throws InterruptedException {
        try {
            Program.await(what, () -> pages.stream().anyMatch(condition));
        } catch (AssertionError e) {
            var last = new ArrayList<>(pages);
            throw new AssertionError(e.getMessage() + "; faults " + faults + "; last pages "
                    + last.subList(Math.max(0, last.size() - 9), last.size()), e);
        }
    }

    /** Returns the head of the response of the fourth gatherer for a page that site fs0 has rows for. */
    private String head(String method) throws IOException {
        try (var client = new Client(ports[3])) {
            client.send(method + " " + RowFleet.target(Map.of("city", "city-0"), 10)
                    + " HTTP/1.1\r\nHost: localhost\r\n\r\n");
            return Client.head(client.socket.getInputStream());
        }
    }

    private long firstEndNanos(Predicate<Page> condition) {
        return pages.stream().filter(condition).mapToLong(Page::endedNanos).min().orElseThrow();
    }

    @Test
    public void leavesOutSitesOnlyAsTheActiveRuleVersionAllows() throws Exception {
        var rows = new ArrayList<String>();
        for (int i = 0; i < 16; i++) {
            rows.add(i % 4 + "," + row("r" + i, i % 4));
        }
        fleet = new RowFleet(folder.getRoot().toPath(), 4, 2, 3000, rows);
        for (int gatherer : SERVING_GATHERERS) {
            ports[gatherer] = Ports.free();
        }
        group = new RulesGroup(folder.getRoot().toPath(), 4, RulesGroup.VOTERS, TERM_MILLIS, "summaries",
                this::sections);
        for (int gatherer : SERVING_GATHERERS) {
            run(new Random(gatherer), random -> readPage(gatherer, random));
        }
        for (int t = 0; t < 2; t++) {
            int writer = t;
            var number = new int[1];
            run(new Random(7 + t), random -> {
                try {
                    fleet.write(random.nextInt(4), row("w" + writer + "-" + number[0]++, random.nextInt(12)));
                } catch (IOException e) {
                    faults.add("write failed: " + e);
                }
            });
        }
        for (int gatherer : SERVING_GATHERERS) {
            await(gatherer, "summaries=0;basis=none", 0);
        }
        Thread.sleep(500); // by now the gatherers hold promises, and the file names all sites
        assertTrue(group.all.get(0).proposeDirectly(TWO_PRUNABLE, PROPOSAL_WAIT_SECONDS).contains("\"acts\""));
        for (int gatherer : SERVING_GATHERERS) {
            await(gatherer, "summaries=1;basis=version", 2);
        }

        group.isolate(3, true); // the new version becomes active only when the lease of the isolated gatherer has ended
        group.isolate(3, false);
        var secondProposal = CompletableFuture
                .supplyAsync(() -> group.all.get(0).proposeDirectly(THREE_PRUNABLE, PROPOSAL_WAIT_SECONDS));
        for (int gatherer : new int[] {0, 1}) {
            awaitAny("m" + gatherer + " at once queries the site that is no longer prunable, and still the new ones",
                    p -> p.gatherer == gatherer && "summaries=1;to=2;basis=careful".equals(p.rules) && p.pruned == 1);
            await(gatherer, "summaries=2;basis=version", 3);
        }
        await(3, "basis=fallback", 0);
        assertTrue(secondProposal.get(), secondProposal.get().contains("\"acts\""));
        group.relay.heal();
        await(3, "summaries=2;basis=version", 3);

        assertTrue(group.all.get(3).proposeDirectly(ONE_PRUNABLE, PROPOSAL_WAIT_SECONDS).contains("\"acts\""));
        long activeNanos = System.nanoTime();
        for (int gatherer : SERVING_GATHERERS) {
            await(gatherer, "summaries=3;basis=version", 1);
        }
        stopped.set(true);
        for (Thread t : threads) {
            t.join(10_000);
        }
        assertEquals("", String.join("\n", faults));
        assertTrue(pages.size() + " pages, " + fleet.confirmed.size() + " rows",
                pages.size() > 100 && fleet.confirmed.size() > 50);
        long lastStartOfFirst = pages.stream().filter(p -> "summaries=1;basis=version".equals(p.rules))
                .mapToLong(Page::startedNanos).max().orElseThrow();
        assertTrue("no page follows version 2 while another gatherer still follows version 1",
                lastStartOfFirst < firstEndNanos(p -> "summaries=2;basis=version".equals(p.rules)));
        assertTrue("no page follows version 1 longer than a term after the change began",
                lastStartOfFirst - firstEndNanos(p -> ("" + p.rules).contains("to=2")) < TERM_MILLIS * 1_000_000);
        assertTrue("no page follows version 2 after version 3 was reported active",
                pages.stream()
                        .noneMatch(p -> p.startedNanos > activeNanos && "summaries=2;basis=version".equals(p.rules)));
        assertTrue("head of a page on port " + ports[3],
                head("HEAD").contains("\r\nWallmoor-Rules: summaries=3;basis=version\r\n"));
        fleet.processes[0].destroyForcibly().onExit().join(); // serves a site that the page needs
        String failed = head("GET");
        assertTrue(failed, failed.startsWith("HTTP/1.1 50") && failed.contains("\r\nWallmoor-Rules: summaries=3;"));
        assertTrue("the log line of a page names the rule version",
                group.all.get(0).hasLogged("pruned=0 source=agreement activeVersion=0 basis=none"));
    }
}

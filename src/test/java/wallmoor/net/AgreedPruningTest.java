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

/** Real gatherers with `rules` and `summaries`: who is left out of their pages is whom the acting version lets them. */
public class AgreedPruningTest {
    private static final long TERM_MILLIS = 2_000;
    private static final int WAIT = 15;
    private static final int[] FRONTS = {0, 1, 3};
    private static final String LABELS = "\"summary.fs0\":\"1\",\"summary.fs1\":\"1\",\"summary.fs2\":\"1\","
            + "\"summary.fs3\":\"1\"}";
    private static final String TWO = "{\"prunable\":[\"fs0\",\"fs1\"]," + LABELS;
    /** Two are added and one is taken away. */
    private static final String OTHERS = "{\"prunable\":[\"fs0\",\"fs1\",\"fs2\",\"fs3\"],"
            + "\"ask_again\":[\"fs0\"]," + LABELS;
    private static final String ONE = OTHERS.replace("[\"fs0\"]", "[\"fs0\",\"fs1\",\"fs2\"]");
    /** What a page of nobody's rows may leave out, by what it says it went by. */
    private static final Map<String, Integer> MOST = Map.of("summaries=0;basis=none", 0, "summaries=1;basis=version", 2,
            "summaries=1;to=2;basis=careful", 1, "summaries=2;basis=version", 3, "summaries=2;to=3;basis=careful", 1,
            "summaries=3;basis=version", 1);
    private static final Pattern PRUNED = Pattern.compile("\"pruned\":(\\d+)");

    /** A page of nobody's rows, on the clock that all processes of a machine share. */
    private record Page(int who, long begun, long ended, String by, int pruned) {}

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final int[] ports = {0, 0, -1, 0}; // the third only votes
    private final ConcurrentLinkedQueue<Page> pages = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean over = new AtomicBoolean();
    private final List<Thread> threads = new ArrayList<>();
    private RowFleet fleet;
    private RulesGroup group;

    @After
    public void stop() throws Exception {
        over.set(true);
        if (group != null) {
            group.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    private String sections(int who) {
        try {
            return ports[who] < 0 ? "" : fleet.ogc("all", ports[who]) + fleet.section("{share: 0}")
                    + "logging:\n  levels: {ogc: debug}\n";
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static String row(String id, int city) {
        return id + ",city-" + city + "," + city + "," + city + ",1,2026-01-05";
    }

    /** Each page is held against the rows that were confirmed before it was asked for, and against what it went by. */
    private void read(int who, Random random) {
        try {
            boolean none = random.nextBoolean();
            var q = Map.of("city", none ? "none" : "city-" + random.nextInt(12));
            var expected = fleet.expected(q);
            long begun = System.nanoTime();
            var answer = Client.get(ports[who], RowFleet.target(q, 1000));
            if (answer.status != 200 || !answer.body.contains("\"complete\":true")) {
                return;
            }
            expected.removeAll(RowFleet.ids(answer.body));
            String by = answer.header("Wallmoor-Rules");
            var pruned = PRUNED.matcher(answer.body);
            int left = pruned.find() ? Integer.parseInt(pruned.group(1)) : -1;
            int most = by != null && by.endsWith("basis=fallback") ? 0 : MOST.getOrDefault("" + by, -1);
            if (!expected.isEmpty() || left < 0 || left > most) {
                faults.add("m" + who + " by " + by + " left out " + left + " for " + q + " and lacks " + expected);
            }
            if (none) {
                pages.add(new Page(who, begun, System.nanoTime(), by, left));
            }
        } catch (IOException e) {
            // it is not there yet, or not any more
        }
    }

    private void run(Random random, ThreadWork work) {
        var thread = new Thread(() -> {
            while (!over.get()) {
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

    private void await(int who, String by, int pruned) throws InterruptedException {
        long from = System.nanoTime();
        awaitAny("m" + who + " by " + by + " leaves out " + pruned, p -> p.who == who && p.begun > from
                && ("" + p.by).endsWith(by) && p.pruned == pruned);
    }

    private void awaitAny(String what, Predicate<Page> is) throws InterruptedException {
        try {
            Program.await(what, () -> pages.stream().anyMatch(is));
        } catch (AssertionError e) {
            var last = new ArrayList<>(pages);
            throw new AssertionError(e.getMessage() + "; faults " + faults + "; last "
                    + last.subList(Math.max(0, last.size() - 9), last.size()), e);
        }
    }

    /** What comes before the body of a page that fs0 has rows for. */
    private String head(String method) throws IOException {
        try (var client = new Client(ports[3])) {
            client.send(method + " " + RowFleet.target(Map.of("city", "city-0"), 10)
                    + " HTTP/1.1\r\nHost: localhost\r\n\r\n");
            return Client.head(client.socket.getInputStream());
        }
    }

    private long first(Predicate<Page> is) {
        return pages.stream().filter(is).mapToLong(Page::ended).min().orElseThrow();
    }

    @Test
    public void aSiteIsLeftOutOnlyWhileTheActingVersionLetsIt() throws Exception {
        var rows = new ArrayList<String>();
        for (int i = 0; i < 16; i++) {
            rows.add(i % 4 + "," + row("r" + i, i % 4));
        }
        fleet = new RowFleet(folder.getRoot().toPath(), 4, 2, 3000, rows);
        for (int who : FRONTS) {
            ports[who] = Ports.free();
        }
        group = new RulesGroup(folder.getRoot().toPath(), 4, RulesGroup.VOTERS, TERM_MILLIS, "summaries",
                this::sections);
        for (int who : FRONTS) {
            run(new Random(who), random -> read(who, random));
        }
        for (int t = 0; t < 2; t++) {
            int writer = t;
            var number = new int[1];
            run(new Random(7 + t), random -> {
                try {
                    fleet.write(random.nextInt(4), row("w" + writer + "-" + number[0]++, random.nextInt(12)));
                } catch (IOException e) {
                    faults.add("a write: " + e);
                }
            });
        }
        for (int who : FRONTS) {
            await(who, "summaries=0;basis=none", 0);
        }
        Thread.sleep(500); // promises are held by now, and the file names all sites
        assertTrue(group.all.get(0).proposeDirectly(TWO, WAIT).contains("\"acts\""));
        for (int who : FRONTS) {
            await(who, "summaries=1;basis=version", 2);
        }

        group.isolate(3, true); // its lease holds up what is added
        group.isolate(3, false);
        var second = CompletableFuture.supplyAsync(() -> group.all.get(0).proposeDirectly(OTHERS, WAIT));
        for (int who : new int[] {0, 1}) {
            awaitAny("m" + who + " asks at once what is taken away, and what is added still",
                    p -> p.who == who && "summaries=1;to=2;basis=careful".equals(p.by) && p.pruned == 1);
            await(who, "summaries=2;basis=version", 3);
        }
        await(3, "basis=fallback", 0);
        assertTrue(second.get(), second.get().contains("\"acts\""));
        group.relay.heal();
        await(3, "summaries=2;basis=version", 3);

        assertTrue(group.all.get(3).proposeDirectly(ONE, WAIT).contains("\"acts\""));
        long told = System.nanoTime();
        for (int who : FRONTS) {
            await(who, "summaries=3;basis=version", 1);
        }
        over.set(true);
        for (Thread t : threads) {
            t.join(10_000);
        }
        assertEquals("", String.join("\n", faults));
        assertTrue(pages.size() + " pages, " + fleet.confirmed.size() + " rows",
                pages.size() > 100 && fleet.confirmed.size() > 50);
        long lastOfFirst = pages.stream().filter(p -> "summaries=1;basis=version".equals(p.by))
                .mapToLong(Page::begun).max().orElseThrow();
        assertTrue("what is added is never done beside who does not know it",
                lastOfFirst < first(p -> "summaries=2;basis=version".equals(p.by)));
        assertTrue("what is taken away is done nowhere after a term",
                lastOfFirst - first(p -> ("" + p.by).contains("to=2")) < TERM_MILLIS * 1_000_000);
        assertTrue("told to act, it is heeded everywhere",
                pages.stream().noneMatch(p -> p.begun > told && "summaries=2;basis=version".equals(p.by)));
        assertTrue("on " + ports[3], head("HEAD").contains("\r\nWallmoor-Rules: summaries=3;basis=version\r\n"));
        fleet.processes[0].destroyForcibly().onExit().join(); // of a site that is asked
        String failed = head("GET");
        assertTrue(failed, failed.startsWith("HTTP/1.1 50") && failed.contains("\r\nWallmoor-Rules: summaries=3;"));
        assertTrue("its line names it",
                group.all.get(0).hasLogged("pruned=0 source=agreement activeVersion=0 basis=none"));
    }
}

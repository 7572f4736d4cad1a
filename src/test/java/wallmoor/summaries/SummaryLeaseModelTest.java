package wallmoor.summaries;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Sites and gatherers on a network that delays, reorders, repeats, loses and tears, with restarts of both, blocks that
 * move and promises that run out. Whatever happens, a gatherer leaves out no site that has confirmed a matching row.
 */
class SummaryLeaseModelTest {
    private static final long LIFETIME = 1_000_000;
    private static final SummaryCache.CacheLimits BOUNDS = new SummaryCache.CacheLimits(100, 1 << 20, 20_000);

    private record Letter(long due, Runnable arrives) {}

    private static final class World {
        private final Random random;
        private final SummaryLimits settings;
        private final List<Letter> post = new ArrayList<>();
        private final Map<Site, SummaryMaintainer> keepers = new HashMap<>();
        private final Map<Site, List<Row>> applied = new HashMap<>();
        private final Map<Site, List<Row>> confirmed = new HashMap<>();
        private final Map<Site, Map<Long, Row>> waiting = new HashMap<>();
        private final SummaryCache[] known = new SummaryCache[2];
        private final List<PruningEvent> events = new ArrayList<>();
        private final List<Site> sites = List.of(new Site("a", "x"), new Site("b", "y"), new Site("c", "x"));
        private long now = 1;
        private long epoch;
        private long ticket = 1;
        private int cuts;

        private World(long seed) {
            random = new Random(seed);
            settings = new SummaryLimits(1024, 3 + random.nextInt(5), 1 + random.nextInt(8), 16, 512, 1
                    + random.nextInt(3), 2);
            for (Site site : sites) {
                applied.put(site, new ArrayList<>());
                confirmed.put(site, new ArrayList<>());
                start(site, true);
            }
            Arrays.setAll(known, g -> fresh());
        }

        private SummaryCache fresh() {
            ticket += 1_000_000;
            return new SummaryCache(settings(), BOUNDS, ticket, events::add);
        }

        /** A gatherer may have other settings than the sites. */
        private SummaryLimits settings() {
            return random.nextBoolean() ? settings : new SummaryLimits(2048, 2 + random.nextInt(6), 2, 16, 1024, 2, 1);
        }

        private void start(Site site, boolean first) {
            var draft = new SummaryBuilder(settings, site.name(), site.block(), ++epoch);
            applied.get(site).forEach(draft::add);
            waiting.put(site, new HashMap<>());
            keepers.put(site, new SummaryMaintainer(settings, site, epoch, draft, now, LIFETIME, first));
        }

        /** It may come late, twice or never. */
        private void send(Runnable arrives) {
            for (int copies = random.nextInt(6) == 0 ? random.nextInt(3) : 1; copies > 0; copies--) {
                long slow = random.nextInt(8) == 0 ? 2 * LIFETIME : 30_000;
                post.add(new Letter(now + random.nextLong(slow), arrives));
            }
        }

        private void ask(int g, Site site) {
            long t = known[g].beginRequest(now, site);
            send(() -> {
                SiteMessage.SummaryLeaseGrant p = keepers.get(site).grantLease(now, "g" + g, t);
                boolean torn = random.nextInt(20) == 0;
                var come = torn
                        ? new SiteMessage.SummaryLeaseGrant(t,
                                Arrays.copyOf(p.summary(), random.nextInt(p.summary().length)),
                                LIFETIME)
                        : p;
                send(() -> known[g].acceptGrant(now, come)); // it may have been started since
            });
        }

        private void write(Site site, Row row) {
            SummaryMaintainer k = keepers.get(site);
            SummaryMaintainer.WriteDecision w = k.write(now, List.of(row));
            applied.get(site).add(row);
            if (w.confirm()) {
                confirmed.get(site).add(row);
            } else {
                waiting.get(site).put(w.id(), row);
            }
            tell(site, k, w);
        }

        private void tell(Site site, SummaryMaintainer k, SummaryMaintainer.WriteDecision w) {
            for (String name : w.gatherersToNotify()) {
                int g = name.charAt(1) - '0';
                send(() -> {
                    long version = known[g].applyWidening(now, w.widening());
                    send(() -> {
                        if (keepers.get(site) == k) {
                            confirm(site, k.acknowledged(now, name, version));
                        }
                    });
                });
            }
        }

        private void confirm(Site site, List<Long> ids) {
            ids.forEach(id -> confirmed.get(site).add(waiting.get(site).remove(id)));
        }

        private void step() {
            now += random.nextInt(60_000);
            for (boolean more = true; more;) {
                var due = post.stream().filter(l -> l.due <= now).findFirst();
                due.ifPresent(l -> {
                    post.remove(l);
                    l.arrives.run();
                });
                more = due.isPresent();
            }
            sites.forEach(s -> confirm(s, keepers.get(s).tick(now)));
            Site site = sites.get(random.nextInt(sites.size()));
            int g = random.nextInt(2);
            switch (random.nextInt(24)) {
                case 0 -> start(site, false);
                case 1 -> known[g] = fresh();
                case 2 -> move();
                case 3 -> {
                    if (random.nextBoolean()) {
                        SummaryBuilder next = keepers.get(site).rebuild();
                        applied.get(site).forEach(next::add);
                        tell(site, keepers.get(site), keepers.get(site).adopt(now));
                    }
                }
                case 4, 5, 6, 7, 8, 9, 10, 11, 12 -> ask(g, site);
                default -> write(site, RandomInputs.row(random, random.nextInt(8) == 0));
            }
            check();
        }

        /** Rows of block x go from one of its holders to the other, written there as any; then all are told. */
        private void move() {
            for (Row row : List.copyOf(confirmed.get(sites.get(0)))) {
                if (confirmed.get(sites.get(2)).size() < 40) {
                    write(sites.get(2), row);
                }
            }
            for (SummaryCache k : known) {
                k.invalidateBlock(now, "x");
            }
        }

        private void check() {
            for (SummaryCache k : known) {
                Conditions c = RandomInputs.conditions(random);
                SummaryLookup lookup = k.lookup(now, c);
                for (Site site : sites) {
                    Summary s = lookup.excluding(site);
                    cuts += s != null ? 1 : 0;
                    assertEquals(s != null, lookup.match(site).kind() == MatchResult.MatchKind.CANNOT);
                    for (Row row : s == null ? List.<Row>of() : confirmed.get(site)) {
                        assertFalse(ReferenceMatcher.matches(row, c, applied.get(site)),
                                () -> "a false cut at " + site + ": " + lookup.match(site) + " but " + row + " meets " + c);
                    }
                }
            }
        }
    }

    private static int total;

    @Property(tries = 200)
    void noConfirmedRowIsLeftOut(@ForAll long seed) {
        var world = new World(seed);
        for (int i = 0; i < 200; i++) {
            world.step();
        }
        total += world.cuts;
        long last = world.now;
        for (world.now += 10 * LIFETIME; !world.post.isEmpty();) {
            world.post.remove(0).arrives.run();
        }
        world.sites.forEach(s -> world.confirm(s, world.keepers.get(s).tick(world.now)));
        assertTrue(world.now > last && world.waiting.values().stream().allMatch(Map::isEmpty),
                "a write waits for ever");
        assertTrue(total > 0, "nothing was ever left out");
    }
}

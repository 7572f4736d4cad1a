package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import wallmoor.rules.LogEntry;

/**
 * The least that a consensus library promises, as bad as it may be: one order of entries, of which a majority decides;
 * a leader that was replaced may not know it; entries and barriers come late or never. A leader's barrier succeeds
 * where at one moment after its begin a majority had promised nothing to a later leader.
 */
final class SimulatedLog {
    private static final long QUICK = 10_000;
    /** Some notices take so long: by then another may lead. */
    private static final long LATE = 3_000_000;
    private static final long UNHEARD = 1_000_000;

    /** An entry came into the order, or a barrier came back, at a voter. */
    sealed interface LogNotice {
        record Committed(long upTo) implements LogNotice {}

        record Barrier(long token, boolean success, long upTo) implements LogNotice {}

        record Attempt(long term, LogEntry entry, long token, long upTo) implements LogNotice {}
    }

    private final SimulatedCluster world;
    private final int voters;
    private final double late;
    private final List<LogEntry> entries = new ArrayList<>();
    private final long[] promised;
    private final long[] leads;
    /** Entries that each knows of, as far as it has led. */
    private final int[] knows;
    private long term;

    /** {@code late} is the share of notices that take long. */
    SimulatedLog(SimulatedCluster world, int voters, double late) {
        this.world = world;
        this.voters = voters;
        this.late = late;
        promised = new long[voters];
        leads = new long[voters];
        knows = new int[voters];
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** A voter tries to come to lead; whether it does. */
    boolean elect(int voter) {
        int[] with = reached(voter);
        if (2 * with.length <= voters) {
            return false;
        }
        leads[voter] = ++term;
        knows[voter] = entries.size();
        for (int v : with) {
            promised[v] = term;
        }
        return true;
    }

    /** How many entries a voter hears of from the last leader that it hears; negative where it hears none. */
    int heardFromLeader(int voter) {
        int leader = -1;
        for (int v = 0; v < voters; v++) {
            if (leads[v] >= Math.max(promised[voter], 1) && world.isRunning(v) && world.reaches(v, voter)) {
                leader = v;
                promised[voter] = leads[v];
            }
        }
        if (leads[voter] < promised[voter]) {
            leads[voter] = 0; // it hears of one after it
        }
        return leader < 0 ? -1 : knows[leader];
    }

    /** A voter's process has ended: it leads no more, and keeps what it promised. */
    void onProcessEnded(int voter) {
        leads[voter] = 0;
    }

    boolean believesItLeads(int voter) {
        return leads[voter] > 0;
    }

    void append(int voter, LogEntry entry) {
        if (leads[voter] > 0) {
            world.deliverLater(voter, quick(), new LogNotice.Attempt(leads[voter], entry, 0, 0));
        }
    }

    void barrier(int voter, long token) {
        if (leads[voter] > 0) {
            world.deliverLater(voter, world.random().nextBoolean() ? 1 : quick(),
                    new LogNotice.Attempt(leads[voter], null, token,
                            entries.size()));
        } else {
            world.deliverLater(voter, quick(), new LogNotice.Barrier(token, false, 0));
        }
    }

    /** What was tried is decided now. */
    void decide(int voter, LogNotice.Attempt attempt) {
        boolean holds = leads[voter] == attempt.term() && 2 * IntStream.of(reached(voter))
                .filter(v -> promised[v] <= attempt.term()).count() > voters;
        if (attempt.entry() == null) {
            world.deliverLater(voter, holds ? delay() : UNHEARD,
                    new LogNotice.Barrier(attempt.token(), holds, holds ? attempt.upTo() : 0));
        } else if (holds) {
            entries.add(attempt.entry());
            knows[voter] = entries.size();
            for (int v : reached(voter)) {
                world.deliverLater(v, delay(), new LogNotice.Committed(entries.size()));
            }
        }
    }

    private int[] reached(int voter) {
        return IntStream.range(0, voters)
                .filter(v -> v == voter ? world.isUp(v) : world.isRunning(v) && world.reaches(voter, v)
                        && world.reaches(v, voter))
                .toArray();
    }

    private long quick() {
        return 1 + world.random().nextLong(QUICK);
    }

    private long delay() {
        return world.random().nextDouble() < late ? 1 + world.random().nextLong(LATE) : quick();
    }
}

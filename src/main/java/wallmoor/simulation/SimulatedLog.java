package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import wallmoor.rules.LogEntry;

/**
 * The least that a Raft library promises, at its worst: one order of entries, each decided by a majority; a leader that
 * was replaced may not know it; notices of commits and barriers come late or never. A barrier succeeds if at one moment
 * after its start a majority had promised nothing to a later leader. Times are microseconds.
 */
final class SimulatedLog {
    private static final long MAX_QUICK_DELAY = 10_000;
    /** By then another voter may lead. */
    private static final long MAX_LATE_DELAY = 3_000_000;
    private static final long FAILED_BARRIER_DELAY = 1_000_000;

    /** What the log delivers to a voter. */
    sealed interface LogNotice {
        /** So many entries have been committed. */
        record Committed(long upTo) implements LogNotice {}

        /** A barrier has succeeded, with so many entries committed before it started, or has failed. */
        record Barrier(long token, boolean success, long upTo) implements LogNotice {}

        /** An append, or a barrier where {@code entry} is null, that is decided as this arrives. */
        record Attempt(long term, LogEntry entry, long token, long upTo) implements LogNotice {}
    }

    private final SimulatedCluster cluster;
    private final int voters;
    private final double lateShare;
    private final List<LogEntry> entries = new ArrayList<>();
    /** By voter, the latest term it has promised to follow. */
    private final long[] promisedTerm;
    /** By voter, the term in which it believes it leads, or 0. */
    private final long[] leadingTerm;
    /** By voter, how many entries it knew when it last led. */
    private final int[] knownEntries;
    private long latestTerm;

    /** {@code lateShare} is the share of notices that take up to three seconds. */
    SimulatedLog(SimulatedCluster cluster, int voters, double lateShare) {
        this.cluster = cluster;
        this.voters = voters;
        this.lateShare = lateShare;
        promisedTerm = new long[voters];
        leadingTerm = new long[voters];
        knownEntries = new int[voters];
    }

    /** Returns all committed entries in their order. */
    List<LogEntry> entries() {
        return entries;
    }

    /** A voter stands for election in a new term; returns whether a majority elects it. */
    boolean elect(int voter) {
        int[] electors = reachableFrom(voter);
        if (2 * electors.length <= voters) {
            return false;
        }
        leadingTerm[voter] = ++latestTerm;
        knownEntries[voter] = entries.size();
        for (int elector : electors) {
            promisedTerm[elector] = latestTerm;
        }
        return true;
    }

    /**
     * A voter hears the heartbeat of the latest leader that reaches it.
     *
     * @return how many entries that leader knows; negative where no leader is heard
     */
    int heardFromLeader(int voter) {
        int leader = -1;
        for (int other = 0; other < voters; other++) {
            if (leadingTerm[other] >= Math.max(promisedTerm[voter], 1) && cluster.isRunning(other)
                    && cluster.reaches(other, voter)) {
                leader = other;
                promisedTerm[voter] = leadingTerm[other];
            }
        }
        if (leadingTerm[voter] < promisedTerm[voter]) {
            leadingTerm[voter] = 0; // it hears of a later leader
        }
        return leader < 0 ? -1 : knownEntries[leader];
    }

    /** A voter's process has ended: it leads no more, and keeps its promise. */
    void onProcessEnded(int voter) {
        leadingTerm[voter] = 0;
    }

    /** Returns whether a voter takes itself for the leader; another may have been elected since. */
    boolean believesItLeads(int voter) {
        return leadingTerm[voter] > 0;
    }

    /** Has the leader append an entry; lost where it leads no more by the time it is decided. */
    void append(int voter, LogEntry entry) {
        if (leadingTerm[voter] > 0) {
            cluster.deliverLater(voter, quickDelay(), new LogNotice.Attempt(leadingTerm[voter], entry, 0, 0));
        }
    }

    /** Has the leader start a barrier. */
    void barrier(int voter, long token) {
        if (leadingTerm[voter] > 0) {
            long delay = cluster.random().nextBoolean() ? 1 : quickDelay();
            cluster.deliverLater(voter, delay,
                    new LogNotice.Attempt(leadingTerm[voter], null, token, entries.size()));
        } else {
            cluster.deliverLater(voter, quickDelay(), new LogNotice.Barrier(token, false, 0));
        }
    }

    /** Decides an append or a barrier now. */
    void decide(int voter, LogNotice.Attempt attempt) {
        boolean succeeds = leadingTerm[voter] == attempt.term() && 2 * IntStream.of(reachableFrom(voter))
                .filter(other -> promisedTerm[other] <= attempt.term()).count() > voters;
        if (attempt.entry() == null) {
            cluster.deliverLater(voter, succeeds ? noticeDelay() : FAILED_BARRIER_DELAY,
                    new LogNotice.Barrier(attempt.token(), succeeds, succeeds ? attempt.upTo() : 0));
        } else if (succeeds) {
            entries.add(attempt.entry());
            knownEntries[voter] = entries.size();
            for (int other : reachableFrom(voter)) {
                cluster.deliverLater(other, noticeDelay(), new LogNotice.Committed(entries.size()));
            }
        }
    }

    /** Returns the voters that a voter can exchange messages with, itself included if it is up. */
    private int[] reachableFrom(int voter) {
        return IntStream.range(0, voters)
                .filter(other -> other == voter ? cluster.isUp(other) : cluster.isRunning(other)
                        && cluster.reaches(voter, other) && cluster.reaches(other, voter))
                .toArray();
    }

    private long quickDelay() {
        return 1 + cluster.random().nextLong(MAX_QUICK_DELAY);
    }

    private long noticeDelay() {
        boolean late = cluster.random().nextDouble() < lateShare;
        return late ? 1 + cluster.random().nextLong(MAX_LATE_DELAY) : quickDelay();
    }
}

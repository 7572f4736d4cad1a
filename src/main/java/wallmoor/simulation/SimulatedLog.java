package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import wallmoor.rules.LogEntry;

/**
 * A log with only the guarantees of a Raft library, in their worst case: one order of entries, each committed by a
 * majority. A leader that was replaced may not know it, and notices of commits and barriers come late or never. A
 * barrier succeeds if at one time after its start a majority has not promised to follow a later leader. Times are
 * microseconds.
 */
final class SimulatedLog {
    private static final long MAX_QUICK_DELAY_MICROS = 10_000;
    /** Long enough for another voter to be elected meanwhile. */
    private static final long MAX_LATE_DELAY_MICROS = 3_000_000;
    private static final long FAILED_BARRIER_DELAY_MICROS = 1_000_000;

    /** A notice that the log delivers to a voter. */
    sealed interface LogNotice {
        /** The first {@code upTo} entries are committed. */
        record Committed(long upTo) implements LogNotice {}

        /** A barrier has succeeded, with {@code upTo} entries committed before it started, or has failed. */
        record Barrier(long token, boolean success, long upTo) implements LogNotice {}

        /** An append, or a barrier if {@code entry} is null, that succeeds or fails when this arrives. */
        record Attempt(long term, LogEntry entry, long token, long upTo) implements LogNotice {}
    }

    private final SimulatedCluster cluster;
    private final int voterCount;
    private final double lateShare;
    private final List<LogEntry> entries = new ArrayList<>();
    /** By voter, the latest term that it has promised to follow. */
    private final long[] promisedTerm;
    /** By voter, the term in which it believes that it leads, or 0. */
    private final long[] leadingTerm;
    /** By voter, the number of entries that it knew when it last led. */
    private final int[] knownEntryCounts;
    private long latestTerm;

    /**
     * Creates an empty log.
     *
     * @param lateShare the share of notices that take up to three seconds
     */
    SimulatedLog(SimulatedCluster cluster, int voterCount, double lateShare) {
        this.cluster = cluster;
        this.voterCount = voterCount;
        this.lateShare = lateShare;
        promisedTerm = new long[voterCount];
        leadingTerm = new long[voterCount];
        knownEntryCounts = new int[voterCount];
    }

    /** Returns all committed entries in their order. */
    List<LogEntry> entries() {
        return entries;
    }

    /** Makes a voter stand for election in a new term; returns whether a majority elects it. */
    boolean elect(int voter) {
        int[] electors = reachableFrom(voter);
        if (2 * electors.length <= voterCount) {
            return false;
        }
        leadingTerm[voter] = ++latestTerm;
        knownEntryCounts[voter] = entries.size();
        for (int elector : electors) {
            promisedTerm[elector] = latestTerm;
        }
        return true;
    }

    /**
     * Makes a voter receive the heartbeat of the latest leader that reaches it.
     *
     * @return the number of entries that the leader knows; negative if no leader reaches the voter
     */
    int receiveHeartbeat(int voter) {
        int leader = -1;
        for (int other = 0; other < voterCount; other++) {
            if (leadingTerm[other] >= Math.max(promisedTerm[voter], 1) && cluster.isRunning(other)
                    && cluster.reaches(other, voter)) {
                leader = other;
                promisedTerm[voter] = leadingTerm[other];
            }
        }
        if (leadingTerm[voter] < promisedTerm[voter]) {
            leadingTerm[voter] = 0; // it has learned of a later leader
        }
        return leader < 0 ? -1 : knownEntryCounts[leader];
    }

    /** Handles the end of a voter's process: the voter no longer leads, and its promise stays in force. */
    void onProcessEnded(int voter) {
        leadingTerm[voter] = 0;
    }

    /** Returns whether a voter believes that it leads; another may have been elected since. */
    boolean believesItLeads(int voter) {
        return leadingTerm[voter] > 0;
    }

    /** Makes the leader append an entry, which is lost if the voter no longer leads when it is decided. */
    void append(int voter, LogEntry entry) {
        if (leadingTerm[voter] > 0) {
            cluster.deliverLater(voter, quickDelay(), new LogNotice.Attempt(leadingTerm[voter], entry, 0, 0));
        }
    }

    /** Makes the leader start a barrier. */
    void barrier(int voter, long token) {
        if (leadingTerm[voter] > 0) {
            long delay = cluster.random().nextBoolean() ? 1 : quickDelay();
            cluster.deliverLater(voter, delay,
                    new LogNotice.Attempt(leadingTerm[voter], null, token, entries.size()));
        } else {
            cluster.deliverLater(voter, quickDelay(), new LogNotice.Barrier(token, false, 0));
        }
    }

    /** Decides now whether an append or a barrier succeeds. */
    void decide(int voter, LogNotice.Attempt attempt) {
        boolean succeeds = leadingTerm[voter] == attempt.term() && 2 * IntStream.of(reachableFrom(voter))
                .filter(other -> promisedTerm[other] <= attempt.term()).count() > voterCount;
        if (attempt.entry() == null) {
            cluster.deliverLater(voter, succeeds ? noticeDelay() : FAILED_BARRIER_DELAY_MICROS,
                    new LogNotice.Barrier(attempt.token(), succeeds, succeeds ? attempt.upTo() : 0));
        } else if (succeeds) {
            entries.add(attempt.entry());
            knownEntryCounts[voter] = entries.size();
            for (int other : reachableFrom(voter)) {
                cluster.deliverLater(other, noticeDelay(), new LogNotice.Committed(entries.size()));
            }
        }
    }

    /** Returns the voters that a voter can exchange messages with, itself included if it has a process. */
    private int[] reachableFrom(int voter) {
        return IntStream.range(0, voterCount)
                .filter(other -> other == voter ? cluster.isUp(other) : cluster.isRunning(other)
                        && cluster.reaches(voter, other) && cluster.reaches(other, voter))
                .toArray();
    }

    private long quickDelay() {
        return 1 + cluster.random().nextLong(MAX_QUICK_DELAY_MICROS);
    }

    private long noticeDelay() {
        boolean isLate = cluster.random().nextDouble() < lateShare;
        return isLate ? 1 + cluster.random().nextLong(MAX_LATE_DELAY_MICROS) : quickDelay();
    }
}

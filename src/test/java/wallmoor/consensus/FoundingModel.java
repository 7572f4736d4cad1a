package wallmoor.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * A model of voters that start for the first time, restart and lose their files, with the elections that follow. The
 * decisions are those of {@link RejoiningVoter} and {@link GroupFounding}. A vote is requested and granted in one step;
 * responses to term requests may be delayed. A voter that lost its files does not catch up in this model.
 */
final class FoundingModel {
    private static final int NOBODY = -1;
    private static final int NO_RESPONSE = Integer.MIN_VALUE;
    /** An event of a process: a Raft message was received. */
    private static final int RAFT_MESSAGE = Integer.MIN_VALUE;

    /** A step from one state to another. */
    record Step(StepType type, int voter, int peer) {}

    /** The type of a step; the comment names the meaning of the peer, where there is one. */
    enum StepType {
        /** Requests the term of the peer; the response is in the network then. */
        REQUEST_TERM,
        /** Receives the response of the peer. */
        RECEIVE_TERM,
        STORE,
        START,
        CAMPAIGN,
        /** Asks the peer for its vote. */
        REQUEST_VOTE,
        RESTART,
        LOSE_FILES
    }

    /** What a voter has on disk. */
    private record Disk(boolean isStored, int term, int votedFor, int minimumLeaderTerm) {
        static final Disk EMPTY = new Disk(false, 0, NOBODY, 0);
    }

    /** An event that a process received: the term of a peer, or a Raft message. */
    private record Event(int peer, int term) {}

    /** A process of a voter: what it found on disk at its start, and what follows from the events received since. */
    private static final class VoterProcess {
        private final Collection<String> others;
        private final Disk diskAtStart;
        private final List<Event> events;
        private final boolean isStarted;
        private final int startTerm;
        private final int minimumLeaderTerm;
        private final Set<String> unansweredVoters;
        private final Set<String> unconfirmedVoters;

        VoterProcess(Collection<String> others, Disk diskAtStart, List<Event> events, boolean isStarted) {
            this.others = others;
            this.diskAtStart = diskAtStart;
            this.events = events;
            this.isStarted = isStarted;
            var rejoining = new RejoiningVoter(others, !diskAtStart.isStored(), diskAtStart.minimumLeaderTerm());
            var founding = new GroupFounding(others, diskAtStart.term() == 0 && diskAtStart.minimumLeaderTerm() == 0);
            for (Event event : events) {
                if (event.term() == RAFT_MESSAGE) {
                    founding.onRaftMessage();
                } else {
                    rejoining.onTermResponse("" + event.peer(), event.term());
                    founding.onTermResponse("" + event.peer(), event.term());
                }
            }
            startTerm = rejoining.startTerm();
            minimumLeaderTerm = rejoining.minimumLeaderTerm();
            unansweredVoters = new TreeSet<>(rejoining.unansweredVoters());
            unconfirmedVoters = new TreeSet<>(founding.unconfirmedVoters());
        }

        VoterProcess started() {
            return new VoterProcess(others, diskAtStart, events, true);
        }

        VoterProcess withEvent(Event event) {
            var all = new ArrayList<>(events);
            all.add(event);
            return new VoterProcess(others, diskAtStart, List.copyOf(all), isStarted);
        }

        void appendKey(StringBuilder to) {
            to.append(isStarted ? 's' : '-').append(diskAtStart.isStored() ? 'd' : '-').append(startTerm).append(',')
                    .append(minimumLeaderTerm);
            unansweredVoters.forEach(v -> to.append('a').append(v));
            unconfirmedVoters.forEach(v -> to.append('c').append(v));
        }
    }

    private final int voters;
    private final int maxTerm;
    private final Disk[] disks;
    private final VoterProcess[] processes;
    /** The responses in the network, by requester and responder. */
    private final int[][] responses;
    /** The votes that were granted, by term and candidate, as sets of bits; also those that a voter has lost since. */
    private final int[][] grants;
    private int lostVoters;
    private int restartsLeft;
    private int lossesLeft;

    FoundingModel(int voters, int maxTerm, int restarts, int losses) {
        this.voters = voters;
        this.maxTerm = maxTerm;
        restartsLeft = restarts;
        lossesLeft = losses;
        disks = new Disk[voters];
        processes = new VoterProcess[voters];
        responses = new int[voters][voters];
        grants = new int[maxTerm + 1][voters];
        for (int i = 0; i < voters; i++) {
            disks[i] = Disk.EMPTY;
            startProcess(i);
        }
    }

    private FoundingModel(FoundingModel from) {
        voters = from.voters;
        maxTerm = from.maxTerm;
        disks = from.disks.clone();
        processes = from.processes.clone();
        responses = Arrays.stream(from.responses).map(int[]::clone).toArray(int[][]::new);
        grants = Arrays.stream(from.grants).map(int[]::clone).toArray(int[][]::new);
        lostVoters = from.lostVoters;
        restartsLeft = from.restartsLeft;
        lossesLeft = from.lossesLeft;
    }

    FoundingModel copy() {
        return new FoundingModel(this);
    }

    /** Returns a text that is equal for states that behave alike. */
    String key() {
        var key = new StringBuilder();
        for (int voter = 0; voter < voters; voter++) {
            Disk disk = disks[voter];
            key.append(disk.isStored() ? 'd' : '-').append(disk.term()).append(',').append(disk.votedFor()).append(',')
                    .append(disk.minimumLeaderTerm());
            processes[voter].appendKey(key);
            for (int response : responses[voter]) {
                key.append(',').append(response == NO_RESPONSE ? "" : response);
            }
            key.append(';');
        }
        for (int[] term : grants) {
            for (int granted : term) {
                key.append(granted).append(',');
            }
        }
        return key.append(lostVoters).append(',').append(restartsLeft).append(',').append(lossesLeft).toString();
    }

    private void startProcess(int voter) {
        Collection<String> others = IntStream.range(0, voters).filter(i -> i != voter).mapToObj(Integer::toString)
                .toList();
        processes[voter] = new VoterProcess(others, disks[voter], List.of(), false);
        Arrays.fill(responses[voter], NO_RESPONSE);
    }

    /** Returns all steps that are possible now. */
    List<Step> steps() {
        var steps = new ArrayList<Step>();
        for (int voter = 0; voter < voters; voter++) {
            addOwnSteps(steps, voter);
            for (int peer = 0; peer < voters; peer++) {
                addStepsWithPeer(steps, voter, peer);
            }
        }
        return steps;
    }

    private void addOwnSteps(List<Step> steps, int voter) {
        if (canStore(voter)) {
            steps.add(new Step(StepType.STORE, voter, NOBODY));
        }
        if (canStart(voter)) {
            steps.add(new Step(StepType.START, voter, NOBODY));
        }
        if (canVote(voter) && disks[voter].term() < maxTerm) {
            steps.add(new Step(StepType.CAMPAIGN, voter, NOBODY));
        }
        if (restartsLeft > 0) {
            steps.add(new Step(StepType.RESTART, voter, NOBODY));
        }
        if (lossesLeft > 0 && disks[voter].isStored()) {
            steps.add(new Step(StepType.LOSE_FILES, voter, NOBODY));
        }
    }

    private void addStepsWithPeer(List<Step> steps, int voter, int peer) {
        if (requestsTermOf(voter, peer) && responses[voter][peer] == NO_RESPONSE) {
            steps.add(new Step(StepType.REQUEST_TERM, voter, peer));
        }
        if (responses[voter][peer] != NO_RESPONSE) {
            steps.add(new Step(StepType.RECEIVE_TERM, voter, peer));
        }
        if (peer != voter && isCandidate(voter)) {
            steps.add(new Step(StepType.REQUEST_VOTE, voter, peer));
        }
    }

    private boolean requestsTermOf(int voter, int peer) {
        if (processes[voter].isStarted) {
            return false;
        }
        VoterProcess process = processes[voter];
        return (disks[voter].isStored() ? process.unconfirmedVoters : process.unansweredVoters).contains("" + peer);
    }

    private boolean canStore(int voter) {
        return !disks[voter].isStored() && processes[voter].unansweredVoters.isEmpty();
    }

    private boolean canStart(int voter) {
        return disks[voter].isStored() && !processes[voter].isStarted && processes[voter].unconfirmedVoters.isEmpty();
    }

    /** Returns whether a voter takes part in elections. */
    boolean canVote(int voter) {
        return processes[voter].isStarted && disks[voter].minimumLeaderTerm() == 0;
    }

    private boolean isCandidate(int voter) {
        return canVote(voter) && disks[voter].votedFor() == voter;
    }

    void perform(Step step) {
        int voter = step.voter();
        switch (step.type()) {
            case REQUEST_TERM -> responses[voter][step.peer()] = reportedTerm(step.peer());
            case RECEIVE_TERM -> {
                receive(voter, new Event(step.peer(), responses[voter][step.peer()]));
                responses[voter][step.peer()] = NO_RESPONSE;
            }
            case STORE -> disks[voter] = new Disk(true, processes[voter].startTerm, NOBODY,
                    processes[voter].minimumLeaderTerm);
            case START -> processes[voter] = processes[voter].started();
            case CAMPAIGN -> grant(voter, voter, disks[voter].term() + 1);
            case REQUEST_VOTE -> requestVote(voter, step.peer());
            case RESTART -> {
                restartsLeft--;
                startProcess(voter);
            }
            case LOSE_FILES -> {
                lossesLeft--;
                lostVoters |= 1 << voter;
                disks[voter] = Disk.EMPTY;
                startProcess(voter);
            }
            default -> throw new IllegalArgumentException(step.toString());
        }
    }

    private int reportedTerm(int voter) {
        return disks[voter].isStored() ? disks[voter].term() : GroupFounding.NO_STORED_STATE;
    }

    private void receive(int voter, Event event) {
        processes[voter] = processes[voter].withEvent(event);
    }

    private void requestVote(int candidate, int peer) {
        int term = disks[candidate].term();
        if (!processes[peer].isStarted) {
            receiveRaftMessage(peer);
        } else if (canVote(peer) && disks[peer].term() < term) {
            grant(peer, candidate, term);
        }
    }

    private void receiveRaftMessage(int voter) {
        if (!processes[voter].unconfirmedVoters.isEmpty()) {
            receive(voter, new Event(NOBODY, RAFT_MESSAGE));
        }
    }

    private void grant(int voter, int candidate, int term) {
        Disk disk = disks[voter];
        disks[voter] = new Disk(true, term, candidate, disk.minimumLeaderTerm());
        grants[term][candidate] |= 1 << voter;
    }

    private int majority() {
        return voters / 2 + 1;
    }

    /** Returns the number of candidates that a majority elected in a term. */
    int leadersIn(int term) {
        return (int) Arrays.stream(grants[term]).filter(g -> Integer.bitCount(g) >= majority()).count();
    }

    /** Returns whether there was a leader in any term. */
    boolean hadLeader() {
        return IntStream.rangeClosed(1, maxTerm).anyMatch(term -> leadersIn(term) > 0);
    }

    /** Returns all majorities of voters that kept their files, as sets of bits. */
    List<Integer> intactMajorities() {
        return IntStream.range(0, 1 << voters)
                .filter(set -> Integer.bitCount(set) == majority() && (set & lostVoters) == 0).boxed().toList();
    }

    /** Lets the voters of a set exchange messages with each other, while all others are down, until nothing changes. */
    void runAlone(int set) {
        List<Integer> members = IntStream.range(0, voters).filter(i -> (set >> i & 1) != 0).boxed().toList();
        for (String before = ""; !before.equals(key());) {
            before = key();
            members.forEach(voter -> runAlone(voter, members));
        }
    }

    private void runAlone(int voter, List<Integer> members) {
        for (int peer : members) {
            if (requestsTermOf(voter, peer)) {
                receive(voter, new Event(peer, reportedTerm(peer)));
            }
            if (processes[voter].isStarted && !processes[peer].isStarted) {
                receiveRaftMessage(peer); // a pre-vote request, as a started voter without a leader sends it
            }
        }
        if (canStore(voter)) {
            perform(new Step(StepType.STORE, voter, NOBODY));
        }
        if (canStart(voter)) {
            perform(new Step(StepType.START, voter, NOBODY));
        }
    }
}

package wallmoor.consensus;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.LogEntry;
import wallmoor.rules.LogEntryCodec;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleStateMachine;

/**
 * The state machine of the rules, driven by the Raft library: applies committed entries, takes and installs snapshots,
 * and sends this member's verdict on each pending version. An entry or snapshot that this program can't read stops the
 * member, as it can't follow the rules that others use. Runs on the control thread.
 */
final class ReplicatedRules implements StateMachine, LeaseTable.Actions {
    private static final int SNAPSHOT_CHUNK_BYTES = 1 << 20;
    /** The first entry of a new leader, which carries no rule data. */
    private static final byte[] NEW_TERM_ENTRY = new byte[0];

    private final String self;
    private final long incarnation;
    private final Collection<String> voters;
    private final LeaseTiming timing;
    private final RaftLog raftLog;
    private final VoterContext context;
    private final ReadBarrier barrier;
    private final ClientRequestHandler clientRequests;
    private final Map<String, DocumentSchema> schemas = DocumentSchemas.all();
    private RuleStateMachine stateMachine;
    private LeaseTable leaseTable;
    private long appliedIndex;

    ReplicatedRules(String self, long incarnation, Collection<String> voters, LeaseTiming timing, RaftLog raftLog,
            VoterContext context, ReadBarrier barrier, ClientRequestHandler clientRequests) {
        this.self = self;
        this.incarnation = incarnation;
        this.voters = voters;
        this.timing = timing;
        this.raftLog = raftLog;
        this.context = context;
        this.barrier = barrier;
        this.clientRequests = clientRequests;
        barrier.reportTo(this::leaseTable);
        replace(new RuleStateMachine(voters));
    }

    private void replace(RuleStateMachine next) {
        stateMachine = next;
        leaseTable = new LeaseTable(self, incarnation, timing, next, this);
    }

    RuleStateMachine stateMachine() {
        return stateMachine;
    }

    LeaseTable leaseTable() {
        return leaseTable;
    }

    /** Returns the index of the last applied entry. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Sends this member's verdict on each pending version. */
    void sendPendingVerdicts() {
        stateMachine.documentNames().stream().map(stateMachine::pending).filter(Objects::nonNull)
                .forEach(this::sendVerdict);
    }

    private void sendVerdict(RuleDocument document) {
        LogEntry.VoterVerdict verdict = DocumentSchemas.verdict(self, schemas, document);
        String leader = raftLog.leader();
        if (leader.equals(self)) {
            raftLog.append(verdict);
        } else if (!leader.isEmpty()) {
            context.sendToVoter(leader, new Packet.ForwardedVerdict(verdict));
        }
    }

    // ---- StateMachine of the Raft library -----------------------------------------------------------------

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof byte[] entry && !raftLog.isStopped()) {
            if (entry.length > 0) {
                apply(entry);
            }
            appliedIndex = index;
        }
        return null;
    }

    private void apply(byte[] entry) {
        try {
            List<RuleEvent> events = stateMachine.apply(LogEntryCodec.decode(entry));
            for (RuleEvent event : events) {
                if (event instanceof RuleEvent.VersionPending pending) {
                    sendVerdict(pending.document());
                }
            }
            leaseTable.onApplied(context.nowMicros(), events);
            clientRequests.onApplied(events, stateMachine);
        } catch (CorruptDataException e) {
            raftLog.stop("log entry can't be decoded by this program version (" + e.getMessage()
                    + "): install the newer version");
        }
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        if (raftLog.isStopped()) {
            throw new VoterStoppedException(raftLog.stopReason());
        }
        byte[] snapshot = stateMachine.takeSnapshot();
        for (int offset = 0; offset < snapshot.length; offset += SNAPSHOT_CHUNK_BYTES) {
            chunks.accept(Arrays.copyOfRange(snapshot, offset,
                    Math.min(snapshot.length, offset + SNAPSHOT_CHUNK_BYTES)));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        var snapshot = new ByteArrayOutputStream();
        chunks.forEach(chunk -> snapshot.writeBytes((byte[]) chunk));
        try {
            replace(RuleStateMachine.restoreSnapshot(voters, snapshot.toByteArray()));
            appliedIndex = index;
        } catch (CorruptDataException e) {
            raftLog.stop("snapshot can't be decoded by this program version (" + e.getMessage()
                    + "): install the newer version");
        }
    }

    @Override
    public Object getNewTermOperation() {
        return NEW_TERM_ENTRY;
    }

    // ---- LeaseTable.Actions -------------------------------------------------------------------------------

    @Override
    public void send(String holder, LeaseMessage message) {
        context.sendToLeaseHolder(holder, message);
    }

    @Override
    public void append(LogEntry entry) {
        raftLog.append(entry);
    }

    @Override
    public void startBarrier(long token) {
        barrier.begin(token);
    }
}

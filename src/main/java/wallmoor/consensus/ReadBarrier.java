package wallmoor.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LeaseTiming;

/**
 * The read barrier that the leader's lease table waits for, one at a time: it shows that this member led, and knows all
 * that was committed, at a time after the barrier began. Control thread.
 */
final class ReadBarrier {
    private static final long MIN_TIMEOUT_MICROS = 1_000_000;
    private static final long NONE = -1;

    private final RaftLog raftLog;
    private final VoterContext context;
    private final RaftNodeExecutor executor;
    private final long timeoutMicros;
    private Supplier<LeaseTable> leaseTable;
    private long token = NONE;
    private long expiresAt;

    ReadBarrier(RaftLog raftLog, VoterContext context, RaftNodeExecutor executor, LeaseTiming timing) {
        this.raftLog = raftLog;
        this.context = context;
        this.executor = executor;
        // a holder has asked again by then
        timeoutMicros = Math.max(MIN_TIMEOUT_MICROS, timing.holderDuration() / 2);
    }

    /** Whom to tell what came of a barrier: the lease table of that time. */
    void reportTo(Supplier<LeaseTable> current) {
        leaseTable = current;
    }

    /** Begins a barrier; its token tells it from those before it. */
    void begin(long barrierToken) {
        token = barrierToken;
        expiresAt = context.nowMicros() + timeoutMicros;
        CompletableFuture<?> unused = raftLog.readBarrier()
                .whenComplete((done, failure) -> executor.execute(() -> end(barrierToken, failure == null)));
    }

    /** Time passes. */
    void tick(long now) {
        if (token != NONE && now >= expiresAt) {
            end(token, false);
        }
    }

    private void end(long barrierToken, boolean passed) {
        if (token != barrierToken) {
            return;
        }
        token = NONE;
        if (passed) {
            leaseTable.get().onBarrier(context.nowMicros(), barrierToken);
        } else {
            leaseTable.get().onBarrierFailed(context.nowMicros(), barrierToken);
        }
    }
}

package wallmoor.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LeaseTiming;

/**
 * The read barrier that the lease table of the leader waits for, one at a time. It confirms that, at some time after
 * its begin, this member led and knew all committed entries. Runs on the control thread.
 */
final class ReadBarrier {
    private static final long MIN_TIMEOUT_MICROS = 1_000_000;
    private static final long NO_TOKEN = -1;

    private final RaftLog raftLog;
    private final VoterContext context;
    private final RaftNodeExecutor executor;
    private final long timeoutMicros;
    private Supplier<LeaseTable> leaseTable;
    private long token = NO_TOKEN;
    private long expiresAt;

    ReadBarrier(RaftLog raftLog, VoterContext context, RaftNodeExecutor executor, LeaseTiming timing) {
        this.raftLog = raftLog;
        this.context = context;
        this.executor = executor;
        // a holder has repeated its request by then
        timeoutMicros = Math.max(MIN_TIMEOUT_MICROS, timing.holderDuration() / 2);
    }

    /** Sets the supplier of the lease table that is notified of the result of a barrier. */
    void reportTo(Supplier<LeaseTable> current) {
        leaseTable = current;
    }

    /**
     * Begins a barrier.
     *
     * @param barrierToken distinguishes this barrier from earlier ones
     */
    void begin(long barrierToken) {
        token = barrierToken;
        expiresAt = context.nowMicros() + timeoutMicros;
        CompletableFuture<?> unused = raftLog.readBarrier()
                .whenComplete((done, failure) -> executor.execute(() -> end(barrierToken, failure == null)));
    }

    /** Fails a barrier that has timed out. */
    void tick(long now) {
        if (token != NO_TOKEN && now >= expiresAt) {
            end(token, false);
        }
    }

    private void end(long barrierToken, boolean passed) {
        if (token != barrierToken) {
            return;
        }
        token = NO_TOKEN;
        if (passed) {
            leaseTable.get().onBarrier(context.nowMicros(), barrierToken);
        } else {
            leaseTable.get().onBarrierFailed(context.nowMicros(), barrierToken);
        }
    }
}

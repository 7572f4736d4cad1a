package wallmoor.migration.http;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.threads.Threads;

/**
 * Stores the plan as a document that gatherers agree on by consensus, with any number of proposers. One thread polls
 * for the active version, another repeats a proposal until its outcome is known. It stores nothing itself: after a
 * crash the agreed plan is read again.
 */
public final class ConsensusPlanStore implements PlanStore {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusPlanStore.class);
    /** Interval of polls for other proposers' versions; the outcome of an own proposal is known without a poll. */
    private static final long POLL_MILLIS = 100;

    private final PlanControlClient client;
    private final Queue<PlanUpdate> updates = new ConcurrentLinkedQueue<>();
    private final Thread poller;
    private final Thread proposer;
    private final Object lock = new Object();
    private MigrationAction.ProposePlan pendingProposal;
    private boolean closed;
    private volatile long leaseExpiryNanos = System.nanoTime();
    private volatile PlanStoreException failure;

    /** Creates a store and begins to poll. */
    public ConsensusPlanStore(PlanControlClient client) {
        this.client = client;
        poller = Threads.start("plan-poll", this::pollActiveVersions);
        proposer = Threads.start("plan-propose", this::sendProposals);
    }

    @Override
    public void propose(MigrationAction.ProposePlan proposal) throws PlanStoreException {
        String fault = PlanControlClient.sizeFault(proposal.plan());
        if (fault != null) {
            throw new PlanStoreException(fault);
        }
        synchronized (lock) {
            pendingProposal = proposal;
            lock.notifyAll();
        }
    }

    @Override
    public PlanUpdate poll() throws PlanStoreException {
        if (failure != null) {
            throw failure;
        }
        return updates.poll();
    }

    @Override
    public boolean isCurrent() {
        return System.nanoTime() - leaseExpiryNanos < 0;
    }

    @Override
    public OperatorCommand pendingCommand() {
        return null; // a command is proposed as a version instead
    }

    @Override
    public void clearCommand() {
        // none is ever pending
    }

    @Override
    public void publishProgress(String json) {
        // nothing to publish: any gatherer shows the agreed plan with its stages
    }

    private void pollActiveVersions() {
        long knownVersion = 0;
        boolean suspended = false;
        try {
            while (!isClosed()) {
                try {
                    knownVersion = pollOnce(knownVersion);
                    if (suspended) {
                        suspended = false;
                        LOG.info("migration requests resumed: reason=\"a gatherer with a lease is reachable again\"");
                    }
                } catch (IOException e) {
                    if (!suspended && !isCurrent()) { // until the lease expired, the other gatherers were tried
                        suspended = true;
                        LOG.warn(
                                "migration requests suspended: reason=\"no gatherer with a lease is reachable\""
                                        + " error=\"{}\"",
                                e.getMessage());
                    }
                }
                Thread.sleep(POLL_MILLIS);
            }
        } catch (PlanStoreException e) {
            failure = e;
        } catch (InterruptedException e) {
            // the store was closed
        }
    }

    /** Reads the active version under a lease; returns the highest version known after that. */
    private long pollOnce(long knownVersion) throws IOException, PlanStoreException {
        long requestedAtNanos = System.nanoTime();
        PlanControlClient.LeasedPlan read = client.readLeased(knownVersion);
        leaseExpiryNanos = requestedAtNanos + TimeUnit.MILLISECONDS.toNanos(read.leaseMillis());
        if (read.version() <= knownVersion || read.plan() == null) {
            return knownVersion;
        }
        dropSuperseded(read.version());
        updates.add(new PlanUpdate(read.version(), read.plan()));
        return read.version();
    }

    /** Drops a pending proposal on an older version: it became a version already, or never will. */
    private void dropSuperseded(long activeVersion) {
        synchronized (lock) {
            if (pendingProposal != null && pendingProposal.parentVersion() < activeVersion) {
                pendingProposal = null;
            }
        }
    }

    private boolean isClosed() {
        synchronized (lock) {
            return closed;
        }
    }

    private void sendProposals() {
        try {
            while (!isClosed()) {
                MigrationAction.ProposePlan proposal = awaitProposal();
                PlanControlClient.ProposalOutcome outcome = client.propose(proposal.parentVersion(), proposal.plan());
                if (outcome == null) {
                    Thread.sleep(POLL_MILLIS); // the outcome is unknown: repeat the proposal to the next gatherer
                } else {
                    applyOutcome(proposal, outcome);
                }
            }
        } catch (PlanStoreException e) {
            failure = e;
        } catch (InterruptedException e) {
            // the store was closed
        }
    }

    private MigrationAction.ProposePlan awaitProposal() throws InterruptedException {
        synchronized (lock) {
            while (pendingProposal == null) {
                lock.wait();
            }
            return pendingProposal;
        }
    }

    private void applyOutcome(MigrationAction.ProposePlan proposal, PlanControlClient.ProposalOutcome outcome) {
        synchronized (lock) {
            pendingProposal = proposal.equals(pendingProposal) ? null : pendingProposal;
        }
        if (outcome.isActive()) {
            updates.add(new PlanUpdate(outcome.version(), proposal.plan()));
        } else {
            LOG.info("plan proposal rejected: reason=\"{}\"", outcome.rejection());
            updates.add(new PlanUpdate(proposal.parentVersion(), null));
        }
    }

    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
        }
        poller.interrupt();
        proposer.interrupt();
    }
}

package wallmoor.migration.http;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.http.Threads;
import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;

/**
 * The plan that gatherers agree on by consensus, with any number of proposers. One thread polls which version is
 * active, another repeats a proposal until its outcome is known. It keeps no state of its own: after a crash the agreed
 * plan is read again.
 */
public final class ConsensusPlanStore implements PlanStore {
    private static final Logger LOG = LoggerFactory.getLogger(ConsensusPlanStore.class);
    /** How soon another proposer's version is seen; the outcome of the own proposal is known at once. */
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

    /** Begins to poll. */
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
        return null; // a command is itself proposed as a version
    }

    @Override
    public void clearCommand() {
        // none is ever pending
    }

    @Override
    public void publishProgress(String json) {
        // any gatherer shows the agreed plan with its stages
    }

    private void pollActiveVersions() {
        long known = 0;
        boolean suspended = false;
        try {
            while (!isClosed()) {
                try {
                    known = pollOnce(known);
                    if (suspended) {
                        suspended = false;
                        LOG.info("a gatherer with a lease is reachable again; requests to nodes resume");
                    }
                } catch (IOException e) {
                    if (!suspended && !isCurrent()) { // the other gatherers were asked meanwhile
                        suspended = true;
                        LOG.warn("no gatherer with a lease is reachable; requests to nodes are suspended: {}",
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

    /** Reads the active version under a lease, and returns the highest version known then. */
    private long pollOnce(long known) throws IOException, PlanStoreException {
        long askedAt = System.nanoTime();
        PlanControlClient.LeasedPlan read = client.readLeased(known);
        leaseExpiryNanos = askedAt + TimeUnit.MILLISECONDS.toNanos(read.leaseMillis());
        if (read.version() <= known || read.plan() == null) {
            return known;
        }
        dropSuperseded(read.version());
        updates.add(new PlanUpdate(read.version(), read.plan()));
        return read.version();
    }

    /** A proposal on an older version has become a version, or never will. */
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
                    Thread.sleep(POLL_MILLIS); // unknown: the same again, to the next gatherer
                } else {
                    settle(proposal, outcome);
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

    private void settle(MigrationAction.ProposePlan proposal, PlanControlClient.ProposalOutcome outcome) {
        synchronized (lock) {
            pendingProposal = proposal.equals(pendingProposal) ? null : pendingProposal;
        }
        if (outcome.isActive()) {
            updates.add(new PlanUpdate(outcome.version(), proposal.plan()));
        } else {
            LOG.info("plan proposal rejected: {}", outcome.rejection());
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

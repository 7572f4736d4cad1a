package wallmoor.migration.http;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wallmoor.http.Threads;
import wallmoor.migration.MigrationAction;

/**
 * The plan that gatherers agree on, which has any number of authors: one thread looks which version acts, one tells
 * what is proposed until it is known what came of it. Nothing is kept here: who is started again reads what was agreed.
 */
public final class ConsensusPlanStore implements PlanStore {
    /** How soon a rival's step is heard of; what was proposed here is told at once. */
    private static final long LOOK_MILLIS = 100;

    private final PlanControlClient port;
    private final Consumer<String> log;
    private final Queue<PlanUpdate> news = new ConcurrentLinkedQueue<>();
    private final Thread looking;
    private final Thread proposing;
    private final Object lock = new Object();
    private MigrationAction.ProposePlan wanted;
    private boolean closed;
    private volatile long sureUntil = System.nanoTime();
    private volatile PlanStoreException failed;

    /** Begins to look. */
    public ConsensusPlanStore(PlanControlClient port, Consumer<String> log) {
        this.port = port;
        this.log = log;
        looking = Threads.start("plan-look", this::look);
        proposing = Threads.start("plan-propose", this::propose);
    }

    @Override
    public void propose(MigrationAction.ProposePlan next) throws PlanStoreException {
        String fault = PlanControlClient.sizeFault(next.plan());
        if (fault != null) {
            throw new PlanStoreException(fault, null);
        }
        synchronized (lock) {
            wanted = next;
            lock.notifyAll();
        }
    }

    @Override
    public PlanUpdate poll() throws PlanStoreException {
        if (failed != null) {
            throw failed;
        }
        return news.poll();
    }

    @Override
    public boolean isCurrent() {
        return System.nanoTime() - sureUntil < 0;
    }

    @Override
    public String wish() {
        return ""; // who wishes something proposes it
    }

    @Override
    public void clearCommand() {
        // the same
    }

    @Override
    public void progress(String json) {
        // the plan itself tells the stages, at any gatherer
    }

    private void look() {
        long known = 0;
        boolean deaf = false;
        try {
            while (!isClosed()) {
                try {
                    long asked = System.nanoTime();
                    PlanControlClient.LeasedPlan shown = port.readLeased(known);
                    sureUntil = asked + TimeUnit.MILLISECONDS.toNanos(shown.leaseMillis());
                    if (deaf) {
                        deaf = false;
                        log.accept("moves: hears what is agreed on again");
                    }
                    if (shown.version() > known && shown.plan() != null) {
                        known = shown.version();
                        acted(known);
                        news.add(new PlanUpdate(known, shown.plan()));
                    }
                } catch (IOException e) {
                    if (!deaf && !isCurrent()) { // others were asked meanwhile
                        deaf = true;
                        log.accept("moves: nothing is asked of nodes until a gatherer with a lease is heard: "
                                + e.getMessage());
                    }
                }
                Thread.sleep(LOOK_MILLIS);
            }
        } catch (PlanStoreException e) {
            failed = e;
        } catch (InterruptedException e) {
            // it ends
        }
    }

    /** What was proposed on an older version has become one, or never will. */
    private void acted(long number) {
        synchronized (lock) {
            if (wanted != null && wanted.parentVersion() < number) {
                wanted = null;
            }
        }
    }

    private boolean isClosed() {
        synchronized (lock) {
            return closed;
        }
    }

    private void propose() {
        try {
            while (!isClosed()) {
                MigrationAction.ProposePlan next;
                synchronized (lock) {
                    while (wanted == null) {
                        lock.wait();
                    }
                    next = wanted;
                }
                PlanControlClient.ProposalOutcome outcome = port.propose(next.parentVersion(), next.plan());
                if (outcome == null) {
                    Thread.sleep(LOOK_MILLIS); // the same again, of the next gatherer
                    continue;
                }
                synchronized (lock) {
                    wanted = next.equals(wanted) ? null : wanted;
                }
                if (!outcome.isActive()) {
                    log.accept("moves: refused: " + outcome.rejection());
                }
                news.add(outcome.isActive() ? new PlanUpdate(outcome.version(), next.plan())
                        : new PlanUpdate(next.parentVersion(), null));
            }
        } catch (PlanStoreException e) {
            failed = e;
        } catch (InterruptedException e) {
            // it ends
        }
    }

    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
        }
        looking.interrupt();
        proposing.interrupt();
    }
}

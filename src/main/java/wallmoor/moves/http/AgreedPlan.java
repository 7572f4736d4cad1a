package wallmoor.moves.http;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wallmoor.http.Threads;
import wallmoor.moves.Action;

/**
 * The plan that gatherers agree on, which has any number of authors: one thread looks which version acts, one tells
 * what is proposed until it is known what came of it. Nothing is kept here: who is started again reads what was agreed.
 */
public final class AgreedPlan implements Plan {
    /** How soon a rival's step is heard of; what was proposed here is told at once. */
    private static final long LOOK_MILLIS = 100;

    private final RulesPort port;
    private final Consumer<String> log;
    private final Queue<News> news = new ConcurrentLinkedQueue<>();
    private final Thread looking;
    private final Thread proposing;
    private final Object lock = new Object();
    private Action.Propose wanted;
    private boolean closed;
    private volatile long sureUntil = System.nanoTime();
    private volatile PlanException failed;

    /** Begins to look. */
    public AgreedPlan(RulesPort port, Consumer<String> log) {
        this.port = port;
        this.log = log;
        looking = Threads.start("plan-look", this::look);
        proposing = Threads.start("plan-propose", this::propose);
    }

    @Override
    public void propose(Action.Propose next) throws PlanException {
        String fault = RulesPort.tooLarge(next.next());
        if (fault != null) {
            throw new PlanException(fault, null);
        }
        synchronized (lock) {
            wanted = next;
            lock.notifyAll();
        }
    }

    @Override
    public News news() throws PlanException {
        if (failed != null) {
            throw failed;
        }
        return news.poll();
    }

    @Override
    public boolean sure() {
        return System.nanoTime() - sureUntil < 0;
    }

    @Override
    public String wish() {
        return ""; // who wishes something proposes it
    }

    @Override
    public void heeded() {
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
                    RulesPort.Shown shown = port.show(known);
                    sureUntil = asked + TimeUnit.MILLISECONDS.toNanos(shown.leaseMillis());
                    if (deaf) {
                        deaf = false;
                        log.accept("moves: hears what is agreed on again");
                    }
                    if (shown.number() > known && shown.state() != null) {
                        known = shown.number();
                        acted(known);
                        news.add(new News(known, shown.state()));
                    }
                } catch (IOException e) {
                    if (!deaf && !sure()) { // others were asked meanwhile
                        deaf = true;
                        log.accept("moves: nothing is asked of nodes until a gatherer with a lease is heard: "
                                + e.getMessage());
                    }
                }
                Thread.sleep(LOOK_MILLIS);
            }
        } catch (PlanException e) {
            failed = e;
        } catch (InterruptedException e) {
            // it ends
        }
    }

    /** What was proposed on an older version has become one, or never will. */
    private void acted(long number) {
        synchronized (lock) {
            if (wanted != null && wanted.parent() < number) {
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
                Action.Propose next;
                synchronized (lock) {
                    while (wanted == null) {
                        lock.wait();
                    }
                    next = wanted;
                }
                RulesPort.Outcome outcome = port.propose(next.parent(), next.next());
                if (outcome == null) {
                    Thread.sleep(LOOK_MILLIS); // the same again, of the next gatherer
                    continue;
                }
                synchronized (lock) {
                    wanted = next.equals(wanted) ? null : wanted;
                }
                if (!outcome.acts()) {
                    log.accept("moves: refused: " + outcome.refused());
                }
                news.add(outcome.acts() ? new News(outcome.number(), next.next()) : new News(next.parent(), null));
            }
        } catch (PlanException e) {
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

package wallmoor.lab;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Faults for a group of real processes, drawn from a seed: the same seed gives the same faults at the same times,
 * whatever the processes do. At any time only a minority is affected, so that the majority must make progress; all
 * faults end within the script.
 */
public final class Script {
    /** A kind of fault. */
    public enum Kind {
        /** The process is stopped (SIGSTOP) and continued. */
        PAUSE,
        /** The process is killed and started again. */
        KILL,
        /** Cuts both directions between the process and all others. */
        CUT_OFF,
        /** Cuts the direction from the process to all others. */
        OUTBOUND_CUT,
        /** Cuts the direction from all others to the process. */
        INBOUND_CUT,
        /** Cuts the direction from the process to one other. */
        ONE_LINK,
        /** Delays and drops datagrams between all processes. */
        DEGRADED
    }

    /**
     * A fault.
     *
     * @param who       the index of the process
     * @param other     selects the other process of {@link Kind#ONE_LINK}: its distance from the one after {@code who}
     * @param atMillis  when it begins, after the start of the script
     * @param forMillis how long it lasts
     */
    public record Fault(Kind kind, int who, int other, int atMillis, int forMillis) {}

    /** The processes and the network that a script affects. Called by one thread. */
    public interface Target {
        /** Sends a process a signal, by its name without SIG. */
        void signal(int who, String name) throws Exception;

        /** Kills a process for good. */
        void kill(int who) throws Exception;

        /** Starts a process that was killed, with or without its stored data. */
        void start(int who) throws Exception;

        /** Sets whether the direction from one process to another is cut. */
        void cut(int from, int to, boolean on);

        /** Sets whether datagrams are delayed and dropped. */
        void degradeDatagrams(boolean on);
    }

    private static final int MIN_FAULT_MILLIS = 300;

    private final int processes;
    private final List<Fault> faults = new ArrayList<>();

    /**
     * Draws the faults. Those of one process don't overlap.
     *
     * @param processes the number of processes
     * @param number    the number of faults
     * @param millis    the time within which all faults begin and end
     */
    public Script(int processes, int number, int millis, long seed) {
        this.processes = processes;
        var random = new Random(seed);
        while (faults.size() < number) {
            int length = MIN_FAULT_MILLIS + random.nextInt(millis / 3);
            var next = new Fault(Kind.values()[random.nextInt(Kind.values().length)], random.nextInt(processes),
                    random.nextInt(processes - 1),
                    random.nextInt(millis - length), length);
            Set<Integer> concurrent = new HashSet<>();
            faults.stream().filter(f -> overlap(f, next)).forEach(f -> concurrent.add(f.who));
            if (!concurrent.contains(next.who) && 2 * (concurrent.size() + 1) < processes) {
                faults.add(next);
            }
        }
        faults.sort(java.util.Comparator.comparingInt(Fault::atMillis));
    }

    private static boolean overlap(Fault a, Fault b) {
        return a.atMillis < b.atMillis + b.forMillis && b.atMillis < a.atMillis + a.forMillis;
    }

    /** Returns the faults in order of their begin. */
    public List<Fault> faults() {
        return List.copyOf(faults);
    }

    /** Applies the faults at their times and returns once all have ended; ends open faults where a step fails. */
    public void play(Target target) throws Exception {
        record Step(int at, Fault fault, boolean on) {}
        var steps = new ArrayList<Step>();
        faults.forEach(f -> {
            steps.add(new Step(f.atMillis, f, true));
            steps.add(new Step(f.atMillis + f.forMillis, f, false));
        });
        steps.sort(java.util.Comparator.comparingInt(Step::at));
        long begun = System.nanoTime();
        var active = new HashSet<Fault>();
        try {
            for (Step step : steps) {
                long remainingNanos = TimeUnit.MILLISECONDS.toNanos(step.at) - (System.nanoTime() - begun);
                if (remainingNanos > 0) {
                    TimeUnit.NANOSECONDS.sleep(remainingNanos);
                }
                if (step.on) {
                    active.add(step.fault);
                } else {
                    active.remove(step.fault);
                }
                apply(target, step.fault, step.on);
            }
        } finally {
            for (Fault fault : active) {
                apply(target, fault, false);
            }
        }
    }

    private void apply(Target target, Fault f, boolean on) throws Exception {
        int other = (f.who + 1 + f.other) % processes;
        switch (f.kind) {
            case PAUSE -> target.signal(f.who, on ? "STOP" : "CONT");
            case KILL -> {
                if (on) {
                    target.kill(f.who);
                } else {
                    target.start(f.who);
                }
            }
            case ONE_LINK -> target.cut(f.who, other, on);
            case DEGRADED -> target.degradeDatagrams(on);
            default -> {
                for (int i = 0; i < processes; i++) {
                    if (i != f.who && f.kind != Kind.INBOUND_CUT) {
                        target.cut(f.who, i, on);
                    }
                    if (i != f.who && f.kind != Kind.OUTBOUND_CUT) {
                        target.cut(i, f.who, on);
                    }
                }
            }
        }
    }
}

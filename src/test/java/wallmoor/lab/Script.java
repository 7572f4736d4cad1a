package wallmoor.lab;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Faults for a group of real processes, drawn from a seed: the same seed gives the same faults at the same times. It
 * must not know what the processes say or decide. At most a minority is dead, paused or cut off at once, so that
 * something must go on; whoever is struck is made whole by the end.
 */
public final class Script {
    /** What strikes. */
    public enum Kind {
        /** It stands still (SIGSTOP), and goes on. */
        PAUSE,
        /** It is killed, and started anew. */
        KILL,
        /** Nothing passes between it and all others. */
        CUT_OFF,
        /** Nothing passes from it to the others. */
        UNHEARD,
        /** Nothing passes to it from the others. */
        DEAF,
        /** Nothing passes from it to one other. */
        ONE_LINK,
        /** A share of what passes is late or lost, between all. */
        POOR
    }

    /** One fault: who, from when and for how long, in milliseconds. */
    public record Fault(Kind kind, int who, int other, int atMillis, int forMillis) {}

    /** What a script strikes. Called by one thread. */
    public interface Target {
        /** Sends a process a signal, by its name without SIG. */
        void signal(int who, String name) throws Exception;

        /** Kills a process for good. */
        void kill(int who) throws Exception;

        /** Starts a process that was killed, with nothing or all that it kept. */
        void start(int who) throws Exception;

        /** Whether all between two processes, this way, is lost. */
        void cut(int from, int to, boolean on);

        /** Whether links are poor. */
        void degradeDatagrams(boolean on);
    }

    private static final int LEAST_MILLIS = 300;

    private final int count;
    private final List<Fault> faults = new ArrayList<>();

    /** Draws so many faults, begun and over within this time. Those of one process don't overlap. */
    public Script(int count, int number, int millis, long seed) {
        this.count = count;
        var random = new Random(seed);
        while (faults.size() < number) {
            int length = LEAST_MILLIS + random.nextInt(millis / 3);
            var next = new Fault(Kind.values()[random.nextInt(Kind.values().length)], random.nextInt(count),
                    random.nextInt(count - 1),
                    random.nextInt(millis - length), length);
            Set<Integer> beside = new HashSet<>();
            faults.stream().filter(f -> overlap(f, next)).forEach(f -> beside.add(f.who));
            if (!beside.contains(next.who) && 2 * (beside.size() + 1) < count) {
                faults.add(next);
            }
        }
        faults.sort(java.util.Comparator.comparingInt(Fault::atMillis));
    }

    private static boolean overlap(Fault a, Fault b) {
        return a.atMillis < b.atMillis + b.forMillis && b.atMillis < a.atMillis + a.forMillis;
    }

    /** The faults, in order. */
    public List<Fault> faults() {
        return List.copyOf(faults);
    }

    /** Plays it: returns once the last fault is over and all is whole, even where a step fails. */
    public void play(Target target) throws Exception {
        record Step(int at, Fault fault, boolean on) {}
        var steps = new ArrayList<Step>();
        faults.forEach(f -> {
            steps.add(new Step(f.atMillis, f, true));
            steps.add(new Step(f.atMillis + f.forMillis, f, false));
        });
        steps.sort(java.util.Comparator.comparingInt(Step::at));
        long begun = System.nanoTime();
        var done = new HashSet<Fault>();
        try {
            for (Step step : steps) {
                long left = TimeUnit.MILLISECONDS.toNanos(step.at) - (System.nanoTime() - begun);
                if (left > 0) {
                    TimeUnit.NANOSECONDS.sleep(left);
                }
                if (step.on) {
                    done.add(step.fault);
                } else {
                    done.remove(step.fault);
                }
                strike(target, step.fault, step.on);
            }
        } finally {
            for (Fault fault : done) {
                strike(target, fault, false);
            }
        }
    }

    private void strike(Target target, Fault f, boolean on) throws Exception {
        int other = (f.who + 1 + f.other) % count;
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
            case POOR -> target.degradeDatagrams(on);
            default -> {
                for (int i = 0; i < count; i++) {
                    if (i != f.who && f.kind != Kind.DEAF) {
                        target.cut(f.who, i, on);
                    }
                    if (i != f.who && f.kind != Kind.UNHEARD) {
                        target.cut(i, f.who, on);
                    }
                }
            }
        }
    }
}

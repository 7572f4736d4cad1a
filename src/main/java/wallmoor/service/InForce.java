package wallmoor.service;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wallmoor.config.Launch;
import wallmoor.decision.RouterApi.Limits;
import wallmoor.decision.RouterApi.Settings;
import wallmoor.versions.Act;

/**
 * What the gatherer goes by: the settings of the file in force, lowered to what is agreed on, and of what all processes
 * of this gatherer may hold together this one's part. Each of the three changes at its own time. Here alone the
 * gatherer is told of settings, whole and under one lock: at no moment it goes by more than all three allow.
 */
final class InForce {
    /** Who goes by them; settings that contradict themselves it refuses whole, by an IllegalArgumentException. */
    interface Taker {
        /** As {@link wallmoor.core.Gatherer#settings}. */
        void settings(Settings next, List<String> classes, Set<Integer> vanished);
    }

    /** So much this process may hold, of so much that all processes may hold together. */
    private record Part(int most, int all) {
        /** The same of another bound. */
        int of(int other) {
            return other == all ? most : (int) ((long) other * most / Math.max(1, all));
        }
    }

    private final Taker taker;
    private final Supplier<Act> agreed;
    private final Consumer<String> log;
    /** Written under the lock, read by every query. */
    private volatile Launch file;
    private Part part = new Part(1, 1);
    /** Those of all processes together. */
    private volatile Limits limits;

    /**
     * Makes it; nothing is told before something changes.
     *
     * @param start  what the taker was made with
     * @param agreed what is agreed on just now of {@code settings}; asked at each change
     * @param log    hears of limits that have changed
     */
    InForce(Launch start, Taker taker, Supplier<Act> agreed, Consumer<String> log) {
        file = start;
        limits = start.settings().limits();
        this.taker = taker;
        this.agreed = agreed;
        this.log = log;
    }

    /** The start's configuration, as files read again have changed it. */
    Launch file() {
        return file;
    }

    /** Queries and parts that all processes of this gatherer may hold together. */
    int allOpen() {
        return limits.maxOpen();
    }

    /**
     * Another file holds from now on.
     *
     * @throws IllegalArgumentException if its settings contradict themselves; nothing has changed then
     */
    synchronized void file(Launch changed) {
        tell(changed, part);
        file = changed; // a query that finds a new class here finds it in the gatherer too
    }

    /** Something else is agreed on. */
    synchronized void agreed() {
        tell(file, part);
    }

    /** This process may hold so many queries and parts from now on, where all processes may hold that. */
    synchronized void part(int most, int all) {
        var changed = new Part(most, all);
        tell(file, changed);
        part = changed;
    }

    private void tell(Launch launch, Part own) {
        Settings all = AgreedLimits.of(launch.settings(), agreed.get());
        Settings now = AgreedLimits.holding(all, own.of(all.limits().maxOpen()));
        taker.settings(now, launch.classes(), launch.vanished());
        if (!all.limits().equals(limits)) {
            limits = all.limits();
            log.accept("limits in force: open " + limits.maxOpen() + ", attempts " + limits.maxAttempts());
        }
    }
}

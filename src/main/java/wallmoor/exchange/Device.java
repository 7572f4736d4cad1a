package wallmoor.exchange;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is kept of one device. */
final class Device {
    /** Its ended exchanges, the one that ended first in front: those that may repeat, and those that may not. */
    final Set<Exchange> repeatable = new LinkedHashSet<>();
    final Set<Exchange> once = new LinkedHashSet<>();
    int open;
    long bytes;
    private double tokens;
    private long at;

    Device(Rules rules, long now) {
        tokens = rules.askBurst();
        at = now;
    }

    /** Whether it may ask now; one that asks all the same pays for it, so that hammering never helps. */
    boolean mayAsk(Rules rules, long now) {
        tokens = Math.min(rules.askBurst(), tokens + (now - at) / 1e6 * rules.askRate());
        at = now;
        if (tokens < 1) {
            tokens = Math.max(-rules.askBurst(), tokens - 0.25);
            return false;
        }
        tokens--;
        return true;
    }

    /** Microseconds until it may ask again. */
    long wait(Rules rules) {
        return (long) (Math.max(0, 1 - tokens) / rules.askRate() * 1e6);
    }

    /** Whether forgetting it loses nothing. */
    boolean idle(Rules rules, long now) {
        return open == 0 && repeatable.isEmpty() && once.isEmpty()
                && tokens + (now - at) / 1e6 * rules.askRate() >= rules.askBurst();
    }

    int retained() {
        return repeatable.size() + once.size();
    }
}

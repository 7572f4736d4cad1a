package wallmoor.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides whether a line of the log is one too many: of lines of the same form so many pass in a period, and the first
 * of the next period tells how many did not. No clock: callers give the time. Not safe for threads.
 */
final class RepeatLimiter {
    /** Forms kept at most; the one not seen for longest is forgotten, which at worst lets a few more lines pass. */
    private static final int MOST_FORMS = 512;

    private static final class Form {
        long since;
        int passed;
        int held;
    }

    private final int most;
    private final long period;
    private final Map<String, Form> forms = new LinkedHashMap<>(64, 0.75f, true);

    /** Lets {@code most} lines of a form pass in a period of so many milliseconds. */
    RepeatLimiter(int most, long period) {
        this.most = most;
        this.period = period;
    }

    /** What to do with a line of this form: -1 to drop it, else how many before it were dropped. */
    int pass(long now, String form) {
        Form f = forms.computeIfAbsent(form, k -> {
            var made = new Form();
            made.since = now;
            return made;
        });
        if (forms.size() > MOST_FORMS) {
            forms.remove(forms.keySet().iterator().next());
        }
        if (now - f.since >= period) {
            f.since = now;
            f.passed = 0;
        }
        if (f.passed >= most) {
            f.held++;
            return -1;
        }
        f.passed++;
        int held = f.held;
        f.held = 0;
        return held;
    }
}

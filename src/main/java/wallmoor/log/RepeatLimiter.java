package wallmoor.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the rate of similar log lines: a fixed number of lines of one form pass in a period, and the first line that
 * passes in the next period gets the number of those that did not. Callers pass the time. Not thread-safe.
 */
final class RepeatLimiter {
    /** The maximum number of forms; dropping the least recently used one at worst lets a few more lines pass. */
    private static final int MAX_FORMS = 512;

    private static final class Form {
        long periodStart;
        int passed;
        int suppressed;
    }

    private final int maxLines;
    private final long periodMillis;
    private final Map<String, Form> forms = new LinkedHashMap<>(64, 0.75f, true);

    /** Creates a limiter that lets {@code maxLines} lines of a form pass in each period. */
    RepeatLimiter(int maxLines, long periodMillis) {
        this.maxLines = maxLines;
        this.periodMillis = periodMillis;
    }

    /**
     * Records a line of a form.
     *
     * @param now the time in milliseconds
     * @return -1 if the line must be dropped, else how many lines of this form were dropped since the last that passed
     */
    int pass(long now, String form) {
        Form state = forms.computeIfAbsent(form, k -> {
            var created = new Form();
            created.periodStart = now;
            return created;
        });
        if (forms.size() > MAX_FORMS) {
            forms.remove(forms.keySet().iterator().next());
        }
        if (now - state.periodStart >= periodMillis) {
            state.periodStart = now;
            state.passed = 0;
        }
        if (state.passed >= maxLines) {
            state.suppressed++;
            return -1;
        }
        state.passed++;
        int suppressed = state.suppressed;
        state.suppressed = 0;
        return suppressed;
    }
}

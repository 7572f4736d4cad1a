package wallmoor.pruning;

import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleBody;

/**
 * Decides by the agreed {@code summaries} document which sites a query may prune. While two versions of the document
 * are in effect, their restrictive merge allows a site only if each version does. If no version is known to be in
 * effect, no site may be pruned, whatever a fallback names. Reads no clock.
 */
final class PrunableSites {
    private static final String PRUNABLE = "prunable";
    private static final String ASK_AGAIN = "ask_again";
    private static final String SUMMARY = "summary.";
    private static final String GOOD_FOR = "good_for.";
    private static final long MICROS_PER_MILLI = 1_000;

    private PrunableSites() {}

    /**
     * Returns whether the site may be pruned.
     *
     * @param rule the rule in effect
     * @param age  microseconds since the lease on its summary was requested
     */
    static boolean allow(EffectiveRule rule, String site, long age) {
        if (rule.basis() != EffectiveRule.Basis.VERSION && rule.basis() != EffectiveRule.Basis.CAREFUL) {
            return false;
        }
        RuleBody body = rule.body();
        return body.containsName(PRUNABLE, site) && !body.containsName(ASK_AGAIN, site)
                && body.text(SUMMARY + site) != null // absent while two versions are in effect that differ in it
                && age < body.amount(GOOD_FOR + site, Double.POSITIVE_INFINITY) * MICROS_PER_MILLI;
    }
}

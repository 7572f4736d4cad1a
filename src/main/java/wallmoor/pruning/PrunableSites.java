package wallmoor.pruning;

import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleBody;

/**
 * Reads of the agreed {@code summaries} which sites a query may leave out. It is as careful as the
 * {@link EffectiveRule}: what
 * two versions meet in allows a site only where each would, and who can't be sure of what acts leaves nobody out,
 * whatever a fallback names. Decides; no clock.
 */
final class PrunableSites {
    private static final String PRUNABLE = "prunable";
    private static final String ASK_AGAIN = "ask_again";
    private static final String SUMMARY = "summary.";
    private static final String GOOD_FOR = "good_for.";
    private static final long MICROS = 1_000;

    private PrunableSites() {}

    /**
     * Whether the site may be left out.
     *
     * @param age of its promise since it was asked for, microseconds
     */
    static boolean allow(EffectiveRule act, String site, long age) {
        if (act.basis() != EffectiveRule.Basis.VERSION && act.basis() != EffectiveRule.Basis.CAREFUL) {
            return false;
        }
        RuleBody body = act.body();
        return body.containsName(PRUNABLE, site) && !body.containsName(ASK_AGAIN, site)
                && body.text(SUMMARY + site) != null // not there while two versions hold that differ in it
                && age < body.amount(GOOD_FOR + site, Double.POSITIVE_INFINITY) * MICROS;
    }
}

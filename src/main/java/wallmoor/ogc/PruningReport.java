package wallmoor.ogc;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.pruning.SummaryLeases;
import wallmoor.rules.EffectiveRule;

/**
 * Reports the pruning decision on a query in the page and in the log: how many shards were queried and pruned, and
 * under which version of the agreed rule. It makes no decision itself. Without a decision, its texts are empty.
 */
final class PruningReport {
    private static final Logger LOG = LoggerFactory.getLogger(PruningReport.class);

    private PruningReport() {}

    /**
     * Returns the page's member about pruning. A feature collection may have members that GeoJSON does not define
     * (RFC 7946, 6.1), and a member is stored together with the page.
     */
    static String member(SummaryLeases.PruningDecision pruning) {
        if (pruning == null) {
            return "";
        }
        var text = new StringBuilder(",\"pruning\":{\"asked\":").append(pruning.decision().ask().size())
                .append(",\"pruned\":").append(pruning.decision().pruned().size());
        EffectiveRule rule = pruning.effectiveRule();
        if (rule != null) {
            text.append(",\"version\":").append(rule.activeVersion());
            if (rule.latestVersion() != rule.activeVersion()) {
                text.append(",\"to\":").append(rule.latestVersion());
            }
            text.append(",\"basis\":\"").append(basis(rule)).append('"');
        }
        return text.append('}').toString();
    }

    /**
     * Returns the rule's version as a header line, since a response without a page has it too (HEAD, a failure), and
     * intermediaries need not parse a body. The header is a structured dictionary (RFC 9651), so that versions of other
     * documents can be added. A link is not suitable: version relations (RFC 5829) are about the resource itself.
     */
    static String header(SummaryLeases.PruningDecision pruning) {
        EffectiveRule rule = pruning == null ? null : pruning.effectiveRule();
        return rule == null ? "" : "Wallmoor-Rules: summaries=" + rule.activeVersion()
                + (rule.latestVersion() == rule.activeVersion() ? "" : ";to=" + rule.latestVersion()) + ";basis="
                + basis(rule) + "\r\n";
    }

    /** Logs the decision on a query, at debug level. */
    static void log(String queryId, String collection, int status, SummaryLeases.PruningDecision pruning) {
        if (pruning != null && LOG.isDebugEnabled()) {
            LOG.debug("items query finished: id={} collection={} status={} queried={} pruned={} {}", queryId,
                    collection, status, pruning.decision().ask().size(), pruning.decision().pruned().size(),
                    ruleFields(pruning.effectiveRule()));
        }
    }

    private static String ruleFields(EffectiveRule rule) {
        return rule == null ? "source=operator-file" : "source=agreement activeVersion=" + rule.activeVersion()
                + (rule.latestVersion() == rule.activeVersion() ? "" : " latestVersion=" + rule.latestVersion())
                + " basis=" + basis(rule);
    }

    private static String basis(EffectiveRule rule) {
        return rule.basis().name().toLowerCase(Locale.ROOT);
    }
}

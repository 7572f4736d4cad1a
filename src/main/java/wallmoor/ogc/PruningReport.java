package wallmoor.ogc;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.pruning.SummaryLeases;
import wallmoor.rules.EffectiveRule;

/**
 * What a page, and the log, tell of the servers that were left out: how many, and under which version of the agreement.
 * It decides nothing. All of it is empty where nobody is ever left out.
 */
final class PruningReport {
    private static final Logger LOG = LoggerFactory.getLogger(PruningReport.class);

    private PruningReport() {}

    /**
     * The page's own member. A feature collection may have members that GeoJSON does not know (RFC 7946, 6.1), and
     * whoever keeps the page keeps them with it.
     */
    static String member(SummaryLeases.PruningDecision cuts) {
        if (cuts == null) {
            return "";
        }
        var to = new StringBuilder(",\"pruning\":{\"asked\":").append(cuts.decision().ask().size())
                .append(",\"pruned\":").append(cuts.decision().pruned().size());
        EffectiveRule under = cuts.effectiveRule();
        if (under != null) {
            to.append(",\"version\":").append(under.activeVersion());
            if (under.latestVersion() != under.activeVersion()) {
                to.append(",\"to\":").append(under.latestVersion());
            }
            to.append(",\"basis\":\"").append(basis(under)).append('"');
        }
        return to.append('}').toString();
    }

    /**
     * The same version as a header: what is not a page names it too (HEAD, a refusal), and whoever stands between need
     * not read a body. A structured dictionary (RFC 9651), so that other documents find room beside it. A link would
     * not do: relations of versions (RFC 5829) are about the resource itself.
     */
    static String header(SummaryLeases.PruningDecision cuts) {
        EffectiveRule under = cuts == null ? null : cuts.effectiveRule();
        return under == null ? "" : "Wallmoor-Rules: summaries=" + under.activeVersion()
                + (under.latestVersion() == under.activeVersion() ? "" : ";to=" + under.latestVersion()) + ";basis="
                + basis(under) + "\r\n";
    }

    /** A line for each query, where somebody asks for it. */
    static void log(String query, String collection, int status, SummaryLeases.PruningDecision cuts) {
        if (cuts != null && LOG.isDebugEnabled()) {
            LOG.debug("query {} of {}: {}, asked {}, left out {}, by {}", query, collection, status,
                    cuts.decision().ask().size(), cuts.decision().pruned().size(), by(cuts.effectiveRule()));
        }
    }

    private static String by(EffectiveRule under) {
        return under == null ? "the operators' file" : "summaries " + under.activeVersion()
                + (under.latestVersion() == under.activeVersion() ? "" : " to " + under.latestVersion()) + " ("
                + basis(under) + ")";
    }

    private static String basis(EffectiveRule under) {
        return under.basis().name().toLowerCase(Locale.ROOT);
    }
}

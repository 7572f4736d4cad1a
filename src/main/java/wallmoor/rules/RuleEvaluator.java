package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.rules.EffectiveRule.Basis;

/**
 * Works out which rules are in effect from the versions that a lease holder knows. Under a lease that is the active
 * version, merged field by field with each accepted version after it so that what any of them restricts holds already.
 * Without a lease, or where a version is invalid for this program, it is the merge of all their fallbacks.
 */
final class RuleEvaluator {
    /**
     * The rules in effect.
     *
     * @param underLease   by document's name
     * @param withoutLease by document's name
     * @param invalid      by document's name, why this program can't read one of its versions
     */
    record Evaluation(Map<String, EffectiveRule> underLease, Map<String, EffectiveRule> withoutLease,
            Map<String, String> invalid) {}

    private final String program;
    private final Map<String, DocumentSchema> schemas;

    /** {@code program} names this gatherer in what it says of an invalid version. */
    RuleEvaluator(String program, Map<String, DocumentSchema> schemas) {
        this.program = program;
        this.schemas = Map.copyOf(schemas);
    }

    /** Evaluates all known versions. */
    Evaluation evaluate(List<VersionChain> known) {
        var result = new Evaluation(new HashMap<>(), new HashMap<>(), new TreeMap<>());
        known.forEach(chain -> evaluate(chain, result));
        return result;
    }

    private void evaluate(VersionChain chain, Evaluation result) {
        String name = chain.name();
        var bodies = new ArrayList<RuleBody>();
        var fallbacks = new ArrayList<RuleBody>();
        for (RuleDocument document : chain.documents()) {
            try {
                DocumentSchema schema = DocumentSchemas.require(schemas, name);
                bodies.add(schema.validate(document));
                fallbacks.add(schema.parse(document.fallback()));
            } catch (InvalidRuleException e) {
                result.invalid().put(name,
                        program + " cannot read " + name + " " + document.version() + ": " + e.getMessage());
            }
        }
        if (fallbacks.isEmpty()) {
            return;
        }
        EffectiveRule fallback = rule(Basis.FALLBACK, chain, fallbacks);
        result.withoutLease().put(name, fallback);
        // with no active version nothing may be done yet that a body permits beyond its fallback
        boolean usable = chain.activeVersion() != 0 && !result.invalid().containsKey(name);
        Basis basis = chain.activeVersion() == chain.latestVersion() ? Basis.VERSION : Basis.CAREFUL;
        result.underLease().put(name, usable ? rule(basis, chain, bodies) : fallback);
    }

    private EffectiveRule rule(Basis basis, VersionChain chain, List<RuleBody> bodies) {
        RuleBody merged = bodies.stream().reduce(schemas.get(chain.name())::meet).orElseThrow();
        return new EffectiveRule(basis, chain.activeVersion(), chain.latestVersion(), merged);
    }
}

package wallmoor.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.rules.EffectiveRule.Basis;

/**
 * Evaluates which rules are in effect from the versions that a lease holder knows. Under a lease that is the active
 * version, merged field by field with each accepted version after it so that their restrictions are in effect already.
 * Without a lease, or if a version is invalid for this program, it is the merge of all their fallbacks.
 */
final class RuleEvaluator {
    /**
     * The rules in effect.
     *
     * @param underLease   rules under a lease, by document name
     * @param withoutLease rules without a lease, by document name
     * @param invalid      why this program can't read one of the versions, by document name
     */
    record Evaluation(Map<String, EffectiveRule> underLease, Map<String, EffectiveRule> withoutLease,
            Map<String, String> invalid) {}

    private final String program;
    private final Map<String, DocumentSchema> schemas;

    /**
     * Creates an evaluator.
     *
     * @param program name of this gatherer, for messages about invalid versions
     * @param schemas schemas of the documents that this program reads, by document name
     */
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
        // without an active version, nothing is permitted yet beyond the fallbacks
        boolean isUsable = chain.activeVersion() != 0 && !result.invalid().containsKey(name);
        Basis basis = chain.activeVersion() == chain.latestVersion() ? Basis.VERSION : Basis.CAREFUL;
        result.underLease().put(name, isUsable ? rule(basis, chain, bodies) : fallback);
    }

    private EffectiveRule rule(Basis basis, VersionChain chain, List<RuleBody> bodies) {
        RuleBody merged = bodies.stream().reduce(schemas.get(chain.name())::meet).orElseThrow();
        return new EffectiveRule(basis, chain.activeVersion(), chain.latestVersion(), merged);
    }
}

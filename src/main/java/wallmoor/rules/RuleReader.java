package wallmoor.rules;

/** Source of the rules in effect for this gatherer. Callers read a rule again for each action; reads never block. */
public interface RuleReader {
    /**
     * Reader of a program without replicated rules, whose own configuration files are in effect. Code may compare a
     * reader with it.
     */
    RuleReader NONE = new Standalone();

    /** Returns the rule of the document with this name that is in effect now; never null. */
    EffectiveRule effectiveRule(String name);

    /** Reader without rules. It is a class, as every process start loads it and a lambda would be linked each time. */
    final class Standalone implements RuleReader {
        private Standalone() {}

        @Override
        public EffectiveRule effectiveRule(String name) {
            return new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
        }
    }
}

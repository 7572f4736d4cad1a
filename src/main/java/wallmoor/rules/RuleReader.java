package wallmoor.rules;

/** Source of the rules in effect for this gatherer. An answer is good for one act; it never blocks. */
public interface RuleReader {
    /** For a program that agrees with nobody: its own files hold. Code may compare with it to learn that. */
    RuleReader NONE = new Standalone();

    /** Returns the rule in effect now of the document of this name; never null. */
    EffectiveRule effectiveRule(String name);

    /** Agrees with nobody. A class of its own, as every start loads it and a lambda would be linked each time. */
    final class Standalone implements RuleReader {
        private Standalone() {}

        @Override
        public EffectiveRule effectiveRule(String name) {
            return new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
        }
    }
}

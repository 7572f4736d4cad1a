package wallmoor.rules;

/** What this gatherer goes by, asked for at each act: an answer is good for that act alone. It never waits. */
public interface RuleReader {
    /**
     * Of a program that agrees with nobody: the gatherer's own files hold. Who is given this one may know it by that.
     */
    RuleReader NONE = new Standalone();

    /** What to go by of the document of this name, now. Never null. */
    EffectiveRule effectiveRule(String name);

    /** Agrees with nobody. A class of its own, as every start comes by it and a lambda would be linked each time. */
    final class Standalone implements RuleReader {
        private Standalone() {}

        @Override
        public EffectiveRule effectiveRule(String name) {
            return new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);
        }
    }
}

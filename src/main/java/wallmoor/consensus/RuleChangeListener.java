package wallmoor.consensus;

import wallmoor.rules.EffectiveRule;

/** Told of each change of the rules in effect; on the control thread, which it must not hold up. */
@FunctionalInterface
public interface RuleChangeListener {
    /** A document is in effect in another way from now on. */
    void onRuleChanged(String document, EffectiveRule rule);
}

package wallmoor.consensus;

import wallmoor.rules.EffectiveRule;

/** Notified of each change of the rules in effect, on the control thread, which the listener must not block. */
@FunctionalInterface
public interface RuleChangeListener {
    /** Called when a document comes into effect in a different way. */
    void onRuleChanged(String document, EffectiveRule rule);
}

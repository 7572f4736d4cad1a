package wallmoor.rules;

import java.util.TreeSet;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/**
 * Which way a field is careful. Two values meet in the one that takes away at least as much as either; meeting is
 * associative, commutative and idempotent, so that it does not matter in which order versions come to be known.
 */
public enum RestrictiveMerge {
    /** The smaller number. */
    LOWER(Amount.class),
    /** The larger number. */
    HIGHER(Amount.class),
    /** No. */
    OFF(Flag.class),
    /** Yes. */
    ON(Flag.class),
    /** Names that both have. */
    FEWER(Names.class),
    /** Names that either has. */
    MORE(Names.class),
    /** None of two that differ: the field is not there until all agree, and who reads it does without. */
    NEITHER(Text.class);

    /** What such a field holds. */
    final Class<? extends FieldValue> valueType;

    RestrictiveMerge(Class<? extends FieldValue> type) {
        this.valueType = type;
    }

    /** The careful one of both, or null where there is none. */
    FieldValue meet(FieldValue a, FieldValue b) {
        switch (this) {
            case LOWER, HIGHER -> {
                double x = ((Amount) a).value();
                double y = ((Amount) b).value();
                return new Amount(this == LOWER ? Math.min(x, y) : Math.max(x, y));
            }
            case OFF, ON -> {
                boolean x = ((Flag) a).value();
                boolean y = ((Flag) b).value();
                return new Flag(this == OFF ? x && y : x || y);
            }
            case FEWER, MORE -> {
                var names = new TreeSet<>(((Names) a).value());
                if (this == FEWER) {
                    names.retainAll(((Names) b).value());
                } else {
                    names.addAll(((Names) b).value());
                }
                return new Names(names);
            }
            default -> {
                return a.equals(b) ? a : null;
            }
        }
    }
}

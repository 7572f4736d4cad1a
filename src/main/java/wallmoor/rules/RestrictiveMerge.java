package wallmoor.rules;

import java.util.TreeSet;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/**
 * The rule by which one of two values of a field is the more restrictive. The values of a field form a
 * meet-semilattice: {@link #meet} is associative, commutative and idempotent, so the order in which versions become
 * known does not matter. docs/versions.md lists the names.
 */
public enum RestrictiveMerge {
    /** The smaller number. */
    LOWER(Amount.class),
    /** The larger number. */
    HIGHER(Amount.class),
    /** False. */
    OFF(Flag.class),
    /** True. */
    ON(Flag.class),
    /** The names in both sets. */
    FEWER(Names.class),
    /** The names in either set. */
    MORE(Names.class),
    /** No order: if two values differ, the field is missing until all versions in effect agree on its value. */
    NEITHER(Text.class);

    /** The type of the field's values. */
    final Class<? extends FieldValue> valueType;

    RestrictiveMerge(Class<? extends FieldValue> valueType) {
        this.valueType = valueType;
    }

    /** Returns the more restrictive value, or null if the values differ and have no order. */
    FieldValue meet(FieldValue a, FieldValue b) {
        return switch (this) {
            case LOWER -> new Amount(Math.min(((Amount) a).value(), ((Amount) b).value()));
            case HIGHER -> new Amount(Math.max(((Amount) a).value(), ((Amount) b).value()));
            case OFF -> new Flag(((Flag) a).value() && ((Flag) b).value());
            case ON -> new Flag(((Flag) a).value() || ((Flag) b).value());
            case FEWER -> {
                var names = new TreeSet<>(((Names) a).value());
                names.retainAll(((Names) b).value());
                yield new Names(names);
            }
            case MORE -> {
                var names = new TreeSet<>(((Names) a).value());
                names.addAll(((Names) b).value());
                yield new Names(names);
            }
            case NEITHER -> a.equals(b) ? a : null;
        };
    }
}

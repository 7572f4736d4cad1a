package wallmoor.rules;

import wallmoor.rules.FieldValue.Amount;

/**
 * A field that bodies of a kind may have.
 *
 * @param path    its name; a last part of {@code *} stands for any one name, which is a node, a block or a tenant
 * @param merge which way is careful
 * @param missing what it means where the field is not there
 * @param minimum   of numbers, the least
 * @param maximum    of numbers, the most
 */
public record FieldSchema(String path, RestrictiveMerge merge, MissingFieldMeaning missing, double minimum,
        double maximum) {
    /** What a field that is not there means. */
    public enum MissingFieldMeaning {
        /** Nothing is given: as careful as can be. */
        NOTHING,
        /** Nothing is taken away: as bold as can be. */
        UNBOUND
    }

    /**
     * Checks that what is neither way careful is careful where it is missing: else meeting would not be associative.
     */
    public FieldSchema {
        if (merge == RestrictiveMerge.NEITHER && missing != MissingFieldMeaning.NOTHING) {
            throw new IllegalArgumentException(
                    path + ": of what is neither way careful nothing is given where it is missing");
        }
    }

    /** One that is no number, or has no bounds but zero. */
    static FieldSchema of(String path, RestrictiveMerge careful, MissingFieldMeaning missing) {
        return new FieldSchema(path, careful, missing, 0, 1e15);
    }

    /** Whether it is this field's name. */
    boolean matches(String name) {
        if (!path.endsWith("*")) {
            return path.equals(name);
        }
        int prefix = path.length() - 1;
        return name.length() > prefix && name.startsWith(path.substring(0, prefix));
    }

    /** What is wrong with a value, or null. */
    String violation(FieldValue value) {
        if (!merge.valueType.isInstance(value)) {
            return "is no " + merge.valueType.getSimpleName().toLowerCase(java.util.Locale.ROOT);
        }
        return value instanceof Amount a && !(a.value() >= minimum && a.value() <= maximum)
                ? "is " + a.value() + ", not from " + minimum + " to " + maximum : null;
    }

    /** The careful one of both; null stands for a field that is not there. */
    FieldValue meet(FieldValue a, FieldValue b) {
        if (a == null || b == null) {
            return missing == MissingFieldMeaning.NOTHING ? null : a == null ? b : a;
        }
        return merge.meet(a, b);
    }
}

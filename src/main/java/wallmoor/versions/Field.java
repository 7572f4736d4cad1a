package wallmoor.versions;

import wallmoor.versions.Value.Amount;

/**
 * A field that bodies of a kind may have.
 *
 * @param path    its name; a last part of {@code *} stands for any one name, which is a node, a block or a tenant
 * @param careful which way is careful
 * @param missing what it means where the field is not there
 * @param least   of numbers, the least
 * @param most    of numbers, the most
 */
public record Field(String path, Careful careful, Missing missing, double least, double most) {
    /** What a field that is not there means. */
    public enum Missing {
        /** Nothing is given: as careful as can be. */
        NOTHING,
        /** Nothing is taken away: as bold as can be. */
        UNBOUND
    }

    /**
     * Checks that what is neither way careful is careful where it is missing: else meeting would not be associative.
     */
    public Field {
        if (careful == Careful.NEITHER && missing != Missing.NOTHING) {
            throw new IllegalArgumentException(
                    path + ": of what is neither way careful nothing is given where it is missing");
        }
    }

    /** One that is no number, or has no bounds but zero. */
    static Field of(String path, Careful careful, Missing missing) {
        return new Field(path, careful, missing, 0, 1e15);
    }

    /** Whether it is this field's name. */
    boolean is(String name) {
        if (!path.endsWith("*")) {
            return path.equals(name);
        }
        int prefix = path.length() - 1;
        return name.length() > prefix && name.startsWith(path.substring(0, prefix));
    }

    /** What is wrong with a value, or null. */
    String fault(Value value) {
        if (!careful.type.isInstance(value)) {
            return "is no " + careful.type.getSimpleName().toLowerCase(java.util.Locale.ROOT);
        }
        return value instanceof Amount a && !(a.value() >= least && a.value() <= most)
                ? "is " + a.value() + ", not from " + least + " to " + most : null;
    }

    /** The careful one of both; null stands for a field that is not there. */
    Value meet(Value a, Value b) {
        if (a == null || b == null) {
            return missing == Missing.NOTHING ? null : a == null ? b : a;
        }
        return careful.meet(a, b);
    }
}

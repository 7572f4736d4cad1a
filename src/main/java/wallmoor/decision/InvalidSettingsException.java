package wallmoor.decision;

/**
 * Thrown for settings that are out of range or contradict each other. The message names the key, its value and the
 * allowed values.
 */
public final class InvalidSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception for one key.
     *
     * @param key     the key's path below {@code settings} in the operator's file
     * @param value   the invalid value
     * @param allowed the allowed values, such as "at least 1"
     */
    InvalidSettingsException(String key, Object value, String allowed) {
        super("settings." + key + " is " + value + ", but must be " + allowed);
    }
}

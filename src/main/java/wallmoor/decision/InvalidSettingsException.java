package wallmoor.decision;

/** Settings that contradict themselves. The message names the setting and the bound that it breaks. */
public final class InvalidSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** A setting, by its path from {@code settings}, must be as {@code bound} says. */
    InvalidSettingsException(String path, String bound) {
        super("settings." + path + " must be " + bound);
    }
}

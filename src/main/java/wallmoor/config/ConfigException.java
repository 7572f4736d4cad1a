package wallmoor.config;

/** Thrown for a setting that is absent, malformed or out of bounds. The message names the key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String key;

    /** Creates an exception for a key. */
    public ConfigException(String key, String message) {
        super(message);
        this.key = key;
    }

    /** Returns the key of the faulty setting, or the name of the file or environment variable. */
    public String key() {
        return key;
    }
}

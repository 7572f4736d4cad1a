package wallmoor.config;

/** A setting that is absent, malformed or out of bounds. Its message names the key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String key;

    /** A fault at this key. */
    public ConfigException(String key, String message) {
        super(message);
        this.key = key;
    }

    /** The faulty key. */
    public String key() {
        return key;
    }
}

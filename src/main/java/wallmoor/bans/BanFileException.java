package wallmoor.bans;

/**
 * Thrown if a ban file is invalid. The message is a predicate whose subject is the file, and says what an operator can
 * do.
 */
public final class BanFileException extends Exception {
    private static final long serialVersionUID = 1L;

    BanFileException(String message) {
        super(message);
    }
}

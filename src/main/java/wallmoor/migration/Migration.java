package wallmoor.migration;

import java.util.Locale;

/**
 * One migration in progress: a replica of a block moves from one node to another.
 *
 * @param sizeMb     planned size of the block, in megabytes
 * @param wave       number from 1; a wave begins when all migrations of the previous one have ended
 * @param fenced     whether the source was fenced; chunks that are copied again are then copied while it is fenced
 * @param copyRounds number of copies that were found to differ from the source
 */
public record Migration(String block, String from, String to, long sizeMb, int wave, MigrationStage stage,
        boolean fenced, int copyRounds) {
    /** Number of fields of the encoded form. */
    private static final int FIELD_COUNT = 8;
    private static final String FENCED = "fenced";
    private static final String NOT_FENCED = "open";

    /** Returns a migration that has not begun. */
    public static Migration planned(String block, String from, String to, long sizeMb, int wave) {
        return new Migration(block, from, to, sizeMb, wave, MigrationStage.PLANNED, false, 0);
    }

    Migration withStage(MigrationStage next) {
        return new Migration(block, from, to, sizeMb, wave, next, fenced || next == MigrationStage.HAND, copyRounds);
    }

    /** Returns the migration at the copy stage again, because the copy differs from the source. */
    Migration copyingAgain() {
        return new Migration(block, from, to, sizeMb, wave, MigrationStage.COPY, fenced, copyRounds + 1);
    }

    /** Returns the form stored in the document {@code plan}: fields separated by spaces. */
    String encode() {
        return String.join(" ", escape(block), escape(from), escape(to), Long.toString(sizeMb),
                Integer.toString(wave), stage.name().toLowerCase(Locale.ROOT), fenced ? FENCED : NOT_FENCED,
                Integer.toString(copyRounds));
    }

    /** Returns an upper bound, in characters, of the encoded form at any later stage. */
    int maxEncodedLength() {
        return new Migration(block, from, to, sizeMb, wave, MigrationStage.PREPARE, true,
                MigrationTask.MAX_COPY_ROUNDS).encode().length();
    }

    /** Reverses {@link #encode}. */
    static Migration decode(String text) throws UnreadablePlanException {
        String[] field = text.split(" ", -1);
        if (field.length != FIELD_COUNT || (!field[6].equals(FENCED) && !field[6].equals(NOT_FENCED))) {
            throw new UnreadablePlanException(
                    "malformed migration, expected 8 fields with 'fenced' or 'open' as the 7th: " + text);
        }
        try {
            return new Migration(unescape(field[0]), unescape(field[1]), unescape(field[2]),
                    Long.parseLong(field[3]), Integer.parseInt(field[4]),
                    MigrationStage.valueOf(field[5].toUpperCase(Locale.ROOT)), field[6].equals(FENCED),
                    Integer.parseInt(field[7]));
        } catch (IllegalArgumentException e) { // a malformed number, or an unknown stage
            throw new UnreadablePlanException("malformed migration, invalid number or unknown stage: " + text, e);
        }
    }

    private static String escape(String id) {
        return id.replace("%", "%25").replace(" ", "%20");
    }

    private static String unescape(String escaped) {
        return escaped.replace("%20", " ").replace("%25", "%");
    }
}

package wallmoor.migration;

import java.util.Locale;

/**
 * A move that is being carried out.
 *
 * @param sizeMb     of the block, as planned
 * @param wave   from 1; begins when all of the wave before have ended
 * @param fenced whether the source was fenced: then what is copied again is copied under the fence
 * @param copyRounds how often the copy was not the source's
 */
public record Migration(String block, String from, String to, long sizeMb, int wave, MigrationStage stage,
        boolean fenced, int copyRounds) {
    /** One that is not begun. */
    public static Migration planned(String block, String from, String to, long mb, int wave) {
        return new Migration(block, from, to, mb, wave, MigrationStage.PLANNED, false, 0);
    }

    /** The same at another stage. */
    Migration withStage(MigrationStage next) {
        return new Migration(block, from, to, sizeMb, wave, next, fenced || next == MigrationStage.HAND, copyRounds);
    }

    /** The same, copying once more. */
    Migration copyingAgain() {
        return new Migration(block, from, to, sizeMb, wave, MigrationStage.COPY, fenced, copyRounds + 1);
    }

    /** As it stands in the document. */
    String encode() {
        return String.join(" ", quoted(block), quoted(from), quoted(to), Long.toString(sizeMb), Integer.toString(wave),
                stage.name().toLowerCase(Locale.ROOT), fenced ? "fenced" : "open", Integer.toString(copyRounds));
    }

    /** Characters of its text at the most, whatever stage it comes to. */
    int maxEncodedLength() {
        return new Migration(block, from, to, sizeMb, wave, MigrationStage.PREPARE, true, MigrationTask.MOST_ROUNDS)
                .encode().length();
    }

    /** @throws IllegalArgumentException where the text is none */
    static Migration decode(String text) {
        String[] part = text.split(" ", -1);
        if (part.length != 8 || !part[6].matches("fenced|open")) {
            throw new IllegalArgumentException("no move: " + text);
        }
        return new Migration(plain(part[0]), plain(part[1]), plain(part[2]), Long.parseLong(part[3]),
                Integer.parseInt(part[4]),
                MigrationStage.valueOf(part[5].toUpperCase(Locale.ROOT)), part[6].equals("fenced"),
                Integer.parseInt(part[7]));
    }

    private static String quoted(String id) {
        return id.replace("%", "%25").replace(" ", "%20");
    }

    private static String plain(String quoted) {
        return quoted.replace("%20", " ").replace("%25", "%");
    }
}

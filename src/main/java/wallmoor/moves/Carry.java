package wallmoor.moves;

import java.util.Locale;

/**
 * A move that is being carried out.
 *
 * @param mb     of the block, as planned
 * @param wave   from 1; begins when all of the wave before have ended
 * @param fenced whether the source was fenced: then what is copied again is copied under the fence
 * @param rounds how often the copy was not the source's
 */
public record Carry(String block, String from, String to, long mb, int wave, Stage stage, boolean fenced, int rounds) {
    /** One that is not begun. */
    public static Carry planned(String block, String from, String to, long mb, int wave) {
        return new Carry(block, from, to, mb, wave, Stage.PLANNED, false, 0);
    }

    /** The same at another stage. */
    Carry at(Stage next) {
        return new Carry(block, from, to, mb, wave, next, fenced || next == Stage.HAND, rounds);
    }

    /** The same, copying once more. */
    Carry again() {
        return new Carry(block, from, to, mb, wave, Stage.COPY, fenced, rounds + 1);
    }

    /** As it stands in the document. */
    String text() {
        return String.join(" ", quoted(block), quoted(from), quoted(to), Long.toString(mb), Integer.toString(wave),
                stage.name().toLowerCase(Locale.ROOT), fenced ? "fenced" : "open", Integer.toString(rounds));
    }

    /** Characters of its text at the most, whatever stage it comes to. */
    int longest() {
        return new Carry(block, from, to, mb, wave, Stage.PREPARE, true, Work.MOST_ROUNDS).text().length();
    }

    /** @throws IllegalArgumentException where the text is none */
    static Carry read(String text) {
        String[] part = text.split(" ", -1);
        if (part.length != 8 || !part[6].matches("fenced|open")) {
            throw new IllegalArgumentException("no move: " + text);
        }
        return new Carry(plain(part[0]), plain(part[1]), plain(part[2]), Long.parseLong(part[3]),
                Integer.parseInt(part[4]),
                Stage.valueOf(part[5].toUpperCase(Locale.ROOT)), part[6].equals("fenced"), Integer.parseInt(part[7]));
    }

    private static String quoted(String id) {
        return id.replace("%", "%25").replace(" ", "%20");
    }

    private static String plain(String quoted) {
        return quoted.replace("%20", " ").replace("%25", "%");
    }
}

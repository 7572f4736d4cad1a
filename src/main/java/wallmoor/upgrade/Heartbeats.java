package wallmoor.upgrade;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Of the signs of life that the processes of one gatherer leave: how many they are, and which of them this one is.
 * While an old process and a new one serve together each takes its part of what the gatherer may have or do at once.
 */
public final class Heartbeats {
    /** A sign is left each quarter of a second; a process on part of a core may miss a few. */
    public static final long EVERY_MICROS = 250_000;
    /** While there are others: what one of them gives up is wanted by the other. */
    public static final long TOGETHER_MICROS = 50_000;
    /** Without a sign for so long a process is gone, or stands still and does nothing that would have to be counted. */
    public static final long GONE_MICROS = 1_500_000;
    /** The claim of one that was killed binds no longer: its follower would have to wait. Four signs fit in. */
    public static final long CLAIMS_MICROS = 1_000_000;
    /** What is left of one that was killed may be cleared away after so long. */
    public static final long STALE_MICROS = 60_000_000;
    /** More than two are a mistake of who starts them; beyond this the parts would be too small to serve by. */
    private static final int MOST = 4;

    /**
     * A process' sign of life.
     *
     * @param name one for each process
     * @param at      microseconds of Unix time of its last sign
     * @param claim   what it holds at most of the bound that all keep together, or {@link #UNTOLD}
     * @param leaving whether it takes ever less and then ends
     */
    public record Beat(String name, long at, int claim, boolean leaving) {
        /** The claim of one that tells none, as programs of before did. */
        public static final int UNTOLD = -1;
    }

    /**
     * How many there are and which one this is, from 0, in the order of their names.
     */
    public record Together(int count, int place) {}

    private Heartbeats() {}

    /** The processes there are at this time; this one counts whether or not its own sign is among them. */
    public static Together together(String own, long now, Collection<Beat> beats) {
        List<Beat> others = others(own, now, beats, GONE_MICROS);
        int place = (int) others.stream().filter(b -> b.name().compareTo(own) < 0).count();
        return new Together(others.size() + 1, place);
    }

    /** Those that are there beside this one, as they gave a sign within this time, in the order of their names. */
    public static List<Beat> others(String own, long now, Collection<Beat> beats, long within) {
        return beats.stream().filter(b -> !b.name().equals(own) && Math.abs(now - b.at()) < within)
                .sorted(Comparator.comparing(Beat::name)).limit(MOST - 1).toList();
    }

    /** Whether this sign tells nothing any more. */
    public static boolean stale(Beat beat, long now) {
        return Math.abs(now - beat.at()) > STALE_MICROS;
    }
}

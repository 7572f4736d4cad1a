package wallmoor.decision;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.Test;
import wallmoor.decision.RouterApi.Effect;

/** When the client of a query first asked, as its wait tells; a class' time for all tries is 4 s here. */
public class FirstTriesTest {
    private static final long MS = Rig.MS;
    private static final long NOW = 1_000_000_000;

    private static FirstTries tries(boolean marked) {
        return new FirstTries(List.of(Rig.Site.all(Effect.SAFE)), marked);
    }

    /** A refused client came again 120 ms later with the rest of its time, was served late and earned a tenth. */
    @Test
    public void anUnmarkedRepeatIsToldByTheTimeItsClientHasLeft() {
        FirstTries tries = tries(false);
        for (int i = 0; i < 50; i++) {
            assertEquals(NOW, tries.firstAsked(0, NOW, 4_000 * MS - i % 3 * MS, false));
        }
        long asked = tries.firstAsked(0, NOW, 3_200 * MS, false);
        assertEquals(NOW - 800 * MS, asked, 5 * MS);
    }

    @Test
    public void inAStormMostQueriesAreRepeatsAndFirstTriesAreStillTold() {
        FirstTries tries = tries(false);
        var random = new Random(3);
        for (int i = 0; i < 500; i++) {
            tries.firstAsked(0, NOW, random.nextInt(5) < 2 ? 4_000 * MS : (2_000 + random.nextInt(1_900)) * MS, false);
        }
        assertEquals(NOW, tries.firstAsked(0, NOW, 4_000 * MS, false));
        assertEquals(NOW - 1_000 * MS, tries.firstAsked(0, NOW, 3_000 * MS, false), 60 * MS);
    }

    @Test
    public void whereWaitsJustDifferEachQueryIsAFirstTry() {
        FirstTries tries = tries(false);
        var random = new Random(5);
        int taken = 0;
        for (int i = 0; i < 600; i++) {
            long asked = tries.firstAsked(0, NOW, (2_400 + random.nextInt(1_600)) * MS, false);
            taken += i >= 200 && asked != NOW ? 1 : 0;
        }
        assertTrue(taken + " taken for repeats", taken < 8);
    }

    @Test
    public void whereRepeatsAreMarkedAShortWaitAloneTellsNothing() {
        FirstTries tries = tries(true);
        for (int i = 0; i < 50; i++) {
            tries.firstAsked(0, NOW, 4_000 * MS, false);
        }
        assertEquals(NOW, tries.firstAsked(0, NOW, 3_000 * MS, false));
        assertEquals(NOW - 1_000 * MS, tries.firstAsked(0, NOW, 3_000 * MS, true));
    }
}

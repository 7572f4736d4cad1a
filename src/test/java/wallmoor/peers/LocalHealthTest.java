package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** One whose probes fail in numbers is more patient, and one that was paused believes nothing for a while. */
class LocalHealthTest {
    private static final long SECOND = 1_000_000;
    private static final int SUBJECTS = 8;

    private final MembershipParameters parameters = MembershipParameters.of(9);
    private final LocalHealth health = new LocalHealth(parameters);

    @Example
    void failingProbesRaiseTheTimeoutUpToFourfoldAndAnswersLowerIt() {
        assertEquals(parameters.probeTimeout(), health.probeTimeout());
        health.probesTimedOut(1, 1);
        health.probesTimedOut(SUBJECTS / 2, SUBJECTS);
        assertEquals(parameters.probeTimeout(), health.probeTimeout(), "one alone, or half of them, may be gone");
        health.probesTimedOut(SUBJECTS / 2 + 1, SUBJECTS);
        assertEquals(parameters.probeTimeout() * 3 / 2, health.probeTimeout());
        for (int tick = 0; tick < 20; tick++) {
            health.probesTimedOut(SUBJECTS, SUBJECTS);
        }
        assertEquals(parameters.probeTimeout() * 4, health.probeTimeout());
        for (int answer = 0; answer < 20; answer++) {
            health.probeAnswered();
        }
        assertEquals(parameters.probeTimeout(), health.probeTimeout());
    }

    @Example
    void aPauseIsRecoveredFromInAsLongAgainAndTenIntervalsAtMost() {
        health.onStart(0);
        assertEquals(4 * SECOND, health.onTick(4 * SECOND), "the gap between two ticks");
        health.pauseEnded(4 * SECOND, 4 * SECOND);
        assertTrue(health.isRecovering(11 * SECOND - 1));
        assertFalse(health.isRecovering(11 * SECOND), "four seconds, and three that suspecting takes");
        health.pauseEnded(100 * SECOND, 90 * SECOND);
        assertTrue(health.isRecovering(113 * SECOND - 1));
        assertFalse(health.isRecovering(113 * SECOND));
    }

    @Example
    void whoWasReportedUnreachableIsSoForAsLongAsSuspectingTakes() {
        assertFalse(health.wasReportedUnreachable(0));
        health.reportedUnreachable(SECOND);
        assertTrue(health.wasReportedUnreachable(4 * SECOND - 1));
        assertFalse(health.wasReportedUnreachable(4 * SECOND));
    }
}

package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** A member whose probes fail extends its probe timeout, and a paused one is in recovery for some time. */
class LocalHealthTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int SUBJECTS = 8;

    private final MembershipParameters parameters = MembershipParameters.of(9);
    private final LocalHealth health = new LocalHealth(parameters);

    @Example
    void failedProbesRaiseTimeoutUpToFourfoldAndAnswersLowerIt() {
        assertEquals(parameters.probeTimeout(), health.probeTimeout());
        health.onProbesTimedOut(1, 1);
        health.onProbesTimedOut(SUBJECTS / 2, SUBJECTS);
        assertEquals(parameters.probeTimeout(), health.probeTimeout(),
                "a single subject, or half of the subjects, may have failed");
        health.onProbesTimedOut(SUBJECTS / 2 + 1, SUBJECTS);
        assertEquals(parameters.probeTimeout() * 3 / 2, health.probeTimeout());
        for (int tick = 0; tick < 20; tick++) {
            health.onProbesTimedOut(SUBJECTS, SUBJECTS);
        }
        assertEquals(parameters.probeTimeout() * 4, health.probeTimeout());
        for (int answer = 0; answer < 20; answer++) {
            health.onProbeAnswered();
        }
        assertEquals(parameters.probeTimeout(), health.probeTimeout());
    }

    @Example
    void recoveryLastsAsLongAsPauseUpToTenIntervals() {
        health.onStart(0);
        assertEquals(4 * MICROS_PER_SECOND, health.onTick(4 * MICROS_PER_SECOND), "the gap between two ticks");
        health.onPauseEnded(4 * MICROS_PER_SECOND, 4 * MICROS_PER_SECOND);
        assertTrue(health.isRecovering(11 * MICROS_PER_SECOND - 1));
        assertFalse(health.isRecovering(11 * MICROS_PER_SECOND),
                "four seconds of pause, and three of the suspicion timeout");
        health.onPauseEnded(100 * MICROS_PER_SECOND, 90 * MICROS_PER_SECOND);
        assertTrue(health.isRecovering(113 * MICROS_PER_SECOND - 1));
        assertFalse(health.isRecovering(113 * MICROS_PER_SECOND));
    }

    @Example
    void staysReportedUnreachableForSuspicionTimeout() {
        assertFalse(health.wasReportedUnreachable(0));
        health.onReportedUnreachable(MICROS_PER_SECOND);
        assertTrue(health.wasReportedUnreachable(4 * MICROS_PER_SECOND - 1));
        assertFalse(health.wasReportedUnreachable(4 * MICROS_PER_SECOND));
    }
}

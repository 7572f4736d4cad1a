package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wallmoor.decision.PeerMessage.Entry;
import wallmoor.decision.RouterApi.Effect;
import wallmoor.decision.RouterApi.LeafEntry;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.RouterApi.ListKind;
import wallmoor.decision.RouterApi.Outcome;
import wallmoor.decision.RouterApi.PartArrived;
import wallmoor.decision.RouterApi.QueryArrived;
import wallmoor.decision.RouterApi.QueryClass;

class BrainTest {
    private static final long MS = Rig.MS;
    /** A start later than the clock. */
    private static final long LATER = 900_000_000;

    // ---- the design's figures ----

    @Test
    void rStarByHand() {
        // slowdown 0.5, load 0.75: lambda = 0.75 / 1.5 = 0.5, r* = 2 - 0.5
        assertEquals(1.5, Brain.rStar(0.5, 0.75), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, Brain.rStar(0.5, 0));
    }

    @Test
    void clampKeepsWithinNeedAndCap() {
        assertEquals(10, Brain.clamp(0.4, 10, 20), 1e-9);
        assertEquals(10.5, Brain.clamp(1.05, 10, 20), 1e-9);
        assertEquals(11, Brain.clamp(7, 10, 20), 1e-9);
        assertEquals(10, Brain.clamp(7, 10, 10), 1e-9);
    }

    @Test
    void roundingKeepsTheMeanALittleLow() {
        var random = new Random(1);
        double sum = 0;
        for (int i = 0; i < 20_000; i++) {
            int r = Brain.round(6.6, 6, random.nextDouble());
            assertTrue(r == 6 || r == 7);
            sum += r;
        }
        assertEquals(6.55, sum / 20_000, 0.01);
        assertEquals(6, Brain.round(6, 6, 0.99), "never fewer than needed");
    }

    @Test
    void anIdleFleetIsAskedASpareAndTheFirstNFinish() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(0.6, 0.6))).leaves(12);
        int most = 0;
        for (int i = 0; i < 20; i++) {
            rig.said.clear();
            String q = rig.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            int asked = rig.said("assign").size();
            assertTrue(asked == 6 || asked == 7);
            most = Math.max(most, asked);
            List<String> sent = rig.said("assign");
            rig.now += 100 * MS;
            for (int n = 0; n < 6; n++) {
                assertTrue(rig.said("answer").isEmpty());
                rig.ends(sent.get(n).split(" ")[1], 0, sent.get(n).split(" ")[2], Outcome.OK, 100 * MS);
            }
            assertEquals(List.of("answer " + q + " true"), rig.said("answer"));
            assertEquals(asked - 6, rig.said("cancel").size());
            for (int n = 6; n < asked; n++) {
                rig.ends(sent.get(n).split(" ")[1], 0, sent.get(n).split(" ")[2], Outcome.CANCELLED, 100 * MS);
            }
        }
        assertEquals(7, most);
    }

    @Test
    void aBusyFleetIsAskedOnlyWhatIsNeeded() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(0.6, 0.6))).leaves(12);
        rig.query(0, 0, 2, 4, 6, 8, 10, 1, 3, 5, 7);
        for (int i = 0; i < 10; i++) {
            rig.said.clear();
            rig.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            assertTrue(rig.said("assign").size() <= 6);
        }
    }

    @Test
    void theReplicaWithLeastLatencyTimesPartsOutIsChosen() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        for (int i = 0; i < 8; i++) {
            rig.said.clear();
            String q = rig.query(0, 0); // leaves 0 and 1 hold shard 0
            String leaf = rig.leafOf(0);
            rig.pass(100 * MS);
            rig.ends(q + "/0", 0, leaf, Outcome.OK, leaf.equals("leaf0") ? 90 * MS : 300 * MS);
        }
        rig.said.clear();
        rig.query(0, 0);
        assertEquals("leaf0", rig.leafOf(0));
        rig.query(0, 0);
        rig.query(0, 0);
        rig.query(0, 0);
        assertEquals("leaf1", rig.leafOf(3), "three parts out weigh more than a third of the latency");
    }

    @Test
    void anUnsentPartReplacesAFailedOneWithoutAFurtherAttempt() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(0.6, 0.6))).leaves(12);
        String q = rig.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        int before = rig.said("assign").size();
        String[] first = rig.said("assign").get(0).split(" ");
        rig.ends(first[1], 0, first[2], Outcome.ERROR, 5 * MS);
        for (int i = 0; i < before - 6; i++) { // spares asked make up for the first failures
            String[] next = rig.said("assign").get(i + 1).split(" ");
            rig.ends(next[1], 0, next[2], Outcome.ERROR, 5 * MS);
        }
        var parts = rig.said("assign").stream().map(s -> s.split(" ")[1]).toList();
        assertEquals(before + 1, parts.size());
        assertEquals(parts.size(), parts.stream().distinct().count(), "no part of " + q + " twice");
    }

    @Test
    void hungPartsDoNotTakeTheSparesAway() {
        var site = new Rig.Site().only(Rig.Site.some(0.6, 0.6));
        site.classes = List.of(Rig.Site.some(0.6, 0.6), Rig.Site.all(Effect.SAFE));
        site.layout = new RouterApi.Layout(24, 24, 1);
        var rig = new Rig(site).leaves(24);
        for (int shard = 12; shard < 24; shard++) {
            rig.query(1, shard);
        }
        rig.pass(1_500 * MS); // half of the leaves now hold a part that never ends
        int most = 0;
        for (int i = 0; i < 10; i++) {
            rig.said.clear();
            rig.query(0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
            most = Math.max(most, rig.said("assign").size());
            rig.answerAll(50 * MS);
            for (String cancelled : rig.said("cancel")) {
                String part = cancelled.split(" ")[1];
                rig.ends(part, 0, "any", Outcome.CANCELLED, 50 * MS);
            }
        }
        assertEquals(7, most);
    }

    // ---- the rules: each test fails without its guard ----

    @Test
    void everyQueryEndsOnceBeforeItsTime() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        String q = rig.query(0, 0, 1);
        rig.pass(3_990 * MS);
        assertEquals(1, rig.said.stream().filter(s -> s.matches("(answer|refuse|fail) " + q + ".*")).count());
        int sent = rig.said("assign").size();
        rig.pass(2_000 * MS);
        rig.ends(q + "/0", 0, "leaf0", Outcome.OK, 5_000 * MS);
        assertEquals(sent, rig.said("assign").size());
        assertEquals(1, rig.said.stream().filter(s -> s.matches("(answer|refuse|fail) .*")).count());
    }

    @Test
    void aPartThatIsOverIsNotSentAgain() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        String q = rig.query(0, 0, 2);
        rig.brain.onOutcome(rig.now, new RouterApi.AttemptEnded(q + "/0", 0, rig.leafOf(0), Outcome.ERROR, 5 * MS,
                true, Map.of()));
        rig.brain.onEndOfRound(rig.now);
        assertEquals(2, rig.said("assign").size());
        assertEquals(1, rig.said("refuse").size(), "given up at once: no whole answer can come any more");
    }

    @Test
    void anUnsafePartIsTriedAgainOnlyWhenItNeverRan() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.all(Effect.UNSAFE))).leaves(12);
        String q = rig.query(0, 0);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.CONNECT_FAILED, 5 * MS);
        assertEquals(2, rig.said("assign").size());
        rig.ends(q + "/0", 1, rig.leafOf(1), Outcome.ERROR, 5 * MS);
        rig.pass(3_990 * MS);
        assertEquals(2, rig.said("assign").size());
        assertTrue(rig.said("refuse").isEmpty(), "a refusal would promise that it never ran");
        assertEquals(1, rig.said("fail").size());
    }

    @Test
    void aKeyedPartIsRepeatedStrictlyInsideItsWindow() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.all(Effect.KEYED))).leaves(12);
        String early = rig.query(0, 0);
        rig.now += 500 * MS;
        rig.ends(early + "/0", 0, rig.leafOf(0), Outcome.ERROR, 500 * MS);
        assertEquals(2, rig.said("assign").size());

        rig = new Rig(new Rig.Site().only(Rig.Site.all(Effect.KEYED))).leaves(12);
        String late = rig.query(0, 0);
        rig.now += 1_000 * MS;
        rig.ends(late + "/0", 0, rig.leafOf(0), Outcome.ERROR, 1_000 * MS);
        rig.pass(500 * MS);
        assertEquals(1, rig.said("assign").size());
    }

    /** It may wait for a connection: the time by which it begins counts from when the first was decided. */
    @Test
    void aRepeatIsToldByWhenItMustBegin() {
        for (Effect effect : Effect.values()) {
            var site = new Rig.Site().only(Rig.Site.all(effect));
            site.parallel = false;
            var rig = new Rig(site).leaves(12);
            String q = rig.query(0, 0);
            rig.now += 400 * MS;
            rig.ends(q + "/0", 0, rig.leafOf(0), effect == Effect.UNSAFE ? Outcome.CONNECT_FAILED : Outcome.ERROR,
                    400 * MS);
            assertEquals(2, rig.said("assign").size());
            assertEquals(List.of(Long.MAX_VALUE, effect == Effect.KEYED ? (1_000 - 400) * MS - 2 * Rig.ROUND
                    : Long.MAX_VALUE), rig.beginWithins);
        }
    }

    /** One that never ran counts no longer: the window is that of the one after it. */
    @Test
    void theWindowOfARepeatIsThatOfTheFirstThatMayHaveRun() {
        var site = new Rig.Site().only(Rig.Site.all(Effect.KEYED));
        site.parallel = false;
        var rig = new Rig(site).leaves(12);
        String q = rig.query(0, 0);
        rig.now += 300 * MS;
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.MOOT, 300 * MS);
        rig.now += 200 * MS;
        rig.ends(q + "/0", 1, rig.leafOf(1), Outcome.RESET, 200 * MS);
        assertEquals(List.of(Long.MAX_VALUE, Long.MAX_VALUE, (1_000 - 200) * MS - 2 * Rig.ROUND), rig.beginWithins);
    }

    /** A second may be written while the first waits for a connection: then the first is the repeat. */
    @Test
    void aFirstThatASecondMayOvertakeIsBoundByTheWindowToo() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.all(Effect.KEYED))).leaves(12);
        rig.query(0, 0);
        assertEquals(List.of(1_000 * MS - 2 * Rig.ROUND), rig.beginWithins);
    }

    @Test
    void aDrainingOrGoneLeafGetsNothing() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        rig.list(Rig.leaf(0, LeafState.DRAINING, RouterApi.ABSENT), Rig.leaf(2, LeafState.UP, RouterApi.ABSENT));
        rig.query(0, 0); // leaf0 drains, leaf1 is missing from the whole list
        assertTrue(rig.said("assign").isEmpty());
    }

    @Test
    void aPartGoesOnlyToAHolderOfItsShard() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        for (int i = 0; i < 12; i++) {
            rig.said.clear();
            rig.query(0, i);
            int cell = Integer.parseInt(rig.leafOf(0).substring(4));
            assertTrue(cell == i || cell == (i + 1) % 12);
        }
    }

    @Test
    void aColdLeafGetsLittle() {
        var rig = new Rig(new Rig.Site()).list(Rig.leaf(0, LeafState.UP, 900_000));
        for (int i = 0; i < 20; i++) {
            rig.query(0, 0);
            rig.now += 10 * MS;
        }
        assertEquals(1, rig.said("assign").size(), "nothing is known of what a warm leaf carries");
    }

    @Test
    void manyRootsTogetherDoNotPushAColdLeafOver() {
        var rigs = new ArrayList<Rig>();
        for (int i = 0; i < 60; i++) {
            var site = new Rig.Site();
            site.roots = 60;
            site.position = i;
            rigs.add(new Rig(site).list(Rig.leaf(0, LeafState.UP, 900_000)));
        }
        for (int step = 0; step < 60; step++) {
            for (Rig rig : rigs) {
                rig.query(0, 0);
                rig.pass(50 * MS);
            }
        }
        int sent = rigs.stream().mapToInt(r -> r.said("assign").size()).sum();
        assertTrue(sent >= 2, "some root's turn comes: " + sent);
        assertTrue(sent <= 4, "one root a window of a second, in three seconds: " + sent);
    }

    @Test
    void fourThatAreThereOfSixtyShareAColdLeafAmongFour() {
        int[] sent = new int[2];
        for (int told = 0; told < 2; told++) {
            var rigs = new ArrayList<Rig>();
            for (int i = 0; i < 4; i++) {
                var site = new Rig.Site();
                site.roots = 60;
                site.position = 10 + i;
                rigs.add(new Rig(site).list(Rig.leaf(0, LeafState.UP, 900_000)));
                if (told == 1) {
                    rigs.get(i).brain.onRoots(4, i);
                }
            }
            for (int step = 0; step < 60; step++) {
                for (Rig rig : rigs) {
                    rig.query(0, 0);
                    rig.pass(50 * MS);
                }
            }
            sent[told] = rigs.stream().mapToInt(r -> r.said("assign").size()).sum();
        }
        assertEquals(0, sent[0], "all turns are of those that are not there");
        assertTrue(sent[1] >= 2 && sent[1] <= 4, "one root a window of a second, in three seconds: " + sent[1]);
    }

    @Test
    void attemptsStayWithinTheLimit() {
        var site = new Rig.Site();
        site.maxAttempts = 2;
        var rig = new Rig(site).leaves(12);
        String q = rig.query(0, 0);
        for (int i = 0; i < 5; i++) {
            if (i < rig.said("assign").size()) {
                rig.ends(q + "/0", i, rig.leafOf(i), Outcome.FULL, 2 * MS);
            }
        }
        rig.pass(500 * MS);
        assertEquals(2, rig.said("assign").size());
    }

    @Test
    void noTwoAttemptsAtOnceWhereForbidden() {
        var site = new Rig.Site();
        site.parallel = false;
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(0, 0);
        rig.pass(1_500 * MS);
        assertEquals(1, rig.said("assign").size());
        assertEquals(List.of("cancel " + q + "/0 0"), rig.said("cancel"));
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.CANCELLED, 1_500 * MS);
        assertEquals(2, rig.said("assign").size());
        assertNotEquals(rig.leafOf(0), rig.leafOf(1));
    }

    @Test
    void aSecondCopyGoesElsewhereWhereAllowed() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        String q = rig.query(0, 0);
        rig.pass(1_000 * MS);
        assertEquals(2, rig.said("assign").size());
        assertNotEquals(rig.leafOf(0), rig.leafOf(1));
        rig.ends(q + "/0", 1, rig.leafOf(1), Outcome.OK, 100 * MS);
        assertEquals(List.of("answer " + q + " true"), rig.said("answer"));
    }

    @Test
    void furtherAttemptsStayWithinTheBudget() {
        var site = new Rig.Site();
        site.budgetWindow = 10_000_000;
        site.minExtra = 2;
        var rig = new Rig(site).leaves(12);
        for (int i = 0; i < 6; i++) {
            String q = rig.query(0, i);
            rig.ends(q + "/" + i, 0, rig.said("assign").get(rig.said("assign").size() - 1).split(" ")[2],
                    Outcome.ERROR, 2 * MS);
        }
        assertEquals(6 + 2, rig.said("assign").size());
    }

    @Test
    void noAnswerUnderTheFloorAndNoneMarkedWholeThatIsNot() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(1, 0.5))).leaves(12);
        String q = rig.query(0, 0, 2, 4, 6);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.OK, 10 * MS);
        rig.ends(q + "/2", 0, rig.said("assign").get(1).split(" ")[2], Outcome.OK, 10 * MS);
        assertTrue(rig.said("answer").isEmpty());
        rig.pass(3_990 * MS);
        assertEquals(1, rig.said("answer").size() + rig.said("refuse").size());
        assertFalse(rig.said("answer").contains("answer " + q + " true"));

        rig = new Rig(new Rig.Site().only(Rig.Site.some(1, 0.5))).leaves(12);
        q = rig.query(0, 0, 2, 4, 6);
        rig.pass(3_990 * MS);
        assertTrue(rig.said("answer").isEmpty());
    }

    @Test
    void aSecondStepNeedsAllItsParts() {
        var rig = new Rig(new Rig.Site().only(new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, Effect.SAFE, 0, 1, 1,
                0.9, 2))).leaves(12);
        String q = rig.query(0, 0, 2);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.OK, 10 * MS);
        rig.ends(q + "/2", 0, rig.said("assign").get(1).split(" ")[2], Outcome.OK, 10 * MS);
        assertEquals(1, rig.said("answer").size());
        rig.brain.onPart(rig.now, new PartArrived("x", 0, 0, 0.5, RouterApi.ABSENT));
        rig.brain.onPart(rig.now, new PartArrived("y", 0, 2, 0.5, RouterApi.ABSENT));
        rig.brain.onEndOfRound(rig.now);
        assertEquals(4, rig.said("assign").size());
        rig.ends("x", 0, rig.leafOf(2), Outcome.OK, 10 * MS);
        assertEquals(1, rig.said("answer").size());
        rig.ends("y", 0, rig.leafOf(3), Outcome.OK, 10 * MS);
        assertEquals(List.of("answer q0 true", "answer q0 true"), rig.said("answer"));
    }

    // ---- failures met ----

    @Test
    void aTrialBuysANewConnectionInTheOwnZoneOnly() {
        for (int zone = 0; zone < 2; zone++) {
            var rig = new Rig(new Rig.Site());
            rig.list(new LeafEntry("leaf0", zone, 0, 0, LeafState.UP, 1, RouterApi.ABSENT));
            String q = rig.query(0, 0);
            rig.ends(q + "/0", 0, "leaf0", Outcome.RESET, 100 * MS);
            rig.pass(1_000 * MS);
            assertEquals(2, rig.said("assign").size(), "a trial has gone out");
            assertEquals(1 - zone, rig.said("closeIdle").size());
        }
    }

    @Test
    void aQueryWithNoAttemptLeftEndsAtOnceWithAComeBackTime() {
        var site = new Rig.Site();
        site.maxAttempts = 2;
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(0, 0, 1);
        for (int i = 0; i < 2; i++) {
            String[] sent = rig.said("assign").stream().filter(l -> l.contains("/0 ")).toList().get(i).split(" ");
            rig.ends(q + "/0", i, sent[2], Outcome.ERROR, 2 * MS);
        }
        assertEquals(1, rig.said("refuse " + q).size(), "the other part is still out, but can't save it");
        assertTrue(Long.parseLong(rig.said("refuse").get(0).split(" ")[2]) > 0);
    }

    @Test
    void noComeBackTimeWhereClientsAreGivenNone() {
        var site = new Rig.Site();
        site.retryAfter = false;
        var rig = new Rig(site).list();
        String q = rig.query(0, 0);
        assertEquals(List.of("refuse " + q + " 0"), rig.said("refuse"));
    }

    @Test
    void aKeyedQueryPastItsWindowEndsAtOnce() {
        var site = new Rig.Site().only(Rig.Site.all(Effect.KEYED));
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(0, 0);
        rig.pass(1_100 * MS);
        for (String line : List.copyOf(rig.said("assign"))) {
            String[] sent = line.split(" ");
            int number = rig.said("assign").indexOf(line);
            rig.ends(q + "/0", number, sent[2], Outcome.ERROR, 1_100 * MS);
        }
        assertEquals(List.of("fail " + q), rig.said("fail"), "no further attempt may be sent");
    }

    @Test
    void aLeafThatTurnsPartsAwayIsLeftAloneForAWhile() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        rig.query(0, 0);
        rig.ends("q" + (4 * 12) + "/0", 0, rig.leafOf(0), Outcome.FULL, 2 * MS);
        String full = rig.leafOf(0);
        for (int i = 0; i < 5; i++) {
            rig.query(0, 0);
        }
        long there = rig.said("assign").stream().skip(1).filter(l -> l.endsWith(" " + full)).count();
        assertEquals(0, there, "attempts are few: none is thrown at a full queue");
        rig.pass(400 * MS);
        rig.query(0, 0);
        assertTrue(rig.said("assign").stream().skip(1).anyMatch(l -> l.endsWith(" " + full)), "tried again then");
    }

    @Test
    void aSlowConnectIsNoRestart() {
        var rig = new Rig(new Rig.Site()).list(Rig.leaf(0, LeafState.UP, RouterApi.ABSENT));
        String q = rig.query(0, 0);
        rig.ends(q + "/0", 0, "leaf0", Outcome.CONNECT_FAILED, 250 * MS);
        rig.pass(1_000 * MS);
        rig.ends(q + "/0", 1, "leaf0", Outcome.OK, 100 * MS);
        rig.said.clear();
        for (int i = 0; i < 4; i++) {
            rig.query(0, 0);
        }
        assertEquals(4, rig.said("assign").size(), "the leaf is not taken for a cold one");
    }

    @Test
    void manySlowConnectsBlameNoLeaf() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        for (int i = 0; i < 3; i++) {
            String q = rig.query(0, 0, 3, 6);
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = rig.said("assign").stream().filter(l -> l.contains(q + shard + " ")).findFirst()
                        .orElseThrow();
                rig.ends(q + shard, 0, sent.split(" ")[2], Outcome.CONNECT_FAILED, 250 * MS);
            }
        }
        long ill = rig.said("log").stream().filter(l -> l.contains("CONNECT_FAILED")).count();
        assertTrue(ill >= 1 && ill <= 2, "the first looked like single leaves out of reach, the rest did not: " + ill);
        assertTrue(rig.said("refuse").isEmpty(), "no shard counts as out of reach");
    }

    /**
     * A lost zone made connecting look slow everywhere: its leaves were blamed no more, and sent to again and again.
     */
    @Test
    void slowConnectsToOneZoneBlameItsLeaves() {
        var entries = new LeafEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = new LeafEntry("leaf" + i, i % 2, 0, i, LeafState.UP, 1, RouterApi.ABSENT);
        }
        var rig = new Rig(new Rig.Site()).list(entries).warm(12);
        var blamed = new java.util.TreeSet<String>();
        for (int i = 0; i < 48; i++) {
            String q = rig.query(0, i % 12);
            for (int attempt = 0; attempt < 2 && rig.said("assign").size() > attempt; attempt++) {
                String leaf = rig.leafOf(attempt);
                boolean lost = Integer.parseInt(leaf.substring(4)) % 2 == 1;
                rig.ends(q + "/" + i % 12, attempt, leaf, lost ? Outcome.CONNECT_FAILED : Outcome.OK,
                        (lost ? 250 : 100) * MS);
            }
            rig.said("log").stream().filter(l -> l.contains("ill: CONNECT_FAILED"))
                    .forEach(l -> blamed.add(l.split(" ")[2]));
            rig.said.clear();
            rig.pass(20 * MS);
        }
        assertEquals(java.util.Set.of("leaf1", "leaf3", "leaf5", "leaf7", "leaf9", "leaf11"), blamed);
    }

    @Test
    void latePartsWaitWhileConnectsTimeOut() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        String q = rig.query(0, 0, 3, 6);
        for (int attempt = 0; attempt < 2; attempt++) {
            for (String shard : List.of("/0", "/3", "/6")) {
                String sent = rig.said("assign").stream().filter(l -> l.contains(q + shard + " ")).toList()
                        .get(attempt).split(" ")[2];
                rig.ends(q + shard, attempt, sent, attempt == 0 ? Outcome.CONNECT_FAILED : Outcome.OK, 250 * MS);
            }
        }
        rig.said.clear();
        for (int i = 0; i < 4; i++) {
            rig.query(0, 9);
        }
        rig.pass(300 * MS);
        List<String> sent = List.copyOf(rig.said("assign"));
        for (String leaf : List.of("leaf9", "leaf10")) {
            String part = sent.stream().filter(l -> l.endsWith(" " + leaf)).skip(1).findFirst().orElseThrow();
            rig.ends(part.split(" ")[1], 0, leaf, Outcome.OK, 300 * MS);
        }
        rig.pass(200 * MS);
        assertEquals(4, rig.said("assign").size(), "another copy would need another connection");
    }

    @Test
    void givenUpQueriesTeachHowLongQueriesTake() {
        var site = new Rig.Site().only(Rig.Site.worthlessLate(0));
        var rig = new Rig(site).leaves(12).warm(12);
        for (int i = 0; i < 12; i++) {
            String q = rig.query(0, 0, 2, 4, 6);
            for (String line : List.copyOf(rig.said("assign"))) {
                String[] sent = line.split(" ");
                if (sent[1].startsWith(q + "/") && !sent[1].endsWith("/6")) {
                    rig.ends(sent[1], 0, sent[2], Outcome.OK, 500 * MS);
                }
            }
            rig.pass(2_000 * MS);
        }
        rig.said.clear();
        rig.query(0, 0, 2, 4, 6);
        assertEquals(1, rig.said("refuse").size(), "four times the part time was never enough");
    }

    @Test
    void aRepeatWhoseAimHasPassedTakesNoWork() {
        var site = new Rig.Site().only(Rig.Site.worthlessLate(0));
        site.marksRetry = true;
        var rig = new Rig(site).leaves(12).warm(12);
        rig.repeat(1_900 * MS, 0);
        assertEquals(0, rig.said("assign").size(), "2.1 s of the client's 4 s have gone");
        assertEquals(1, rig.said("refuse").size());
        rig.repeat(3_900 * MS, 0);
        assertEquals(1, rig.said("assign").size(), "only 0.1 s have");
    }

    @Test
    void aPartOfTheSecondStepIsLateAtHalfTheTimeLeft() {
        var site = new Rig.Site();
        site.classes.add(Rig.Site.worthlessLate(1));
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(1, 0);
        rig.pass(900 * MS);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.OK, 900 * MS);
        rig.brain.onPart(rig.now, new PartArrived("x", Long.parseLong(q.substring(1)), 0, 1, RouterApi.ABSENT));
        rig.brain.onEndOfRound(rig.now);
        assertEquals(1, rig.said("assign x").size());
        rig.pass(520 * MS);
        assertEquals(1, rig.said("assign x").size());
        rig.pass(60 * MS);
        assertEquals(2, rig.said("assign x").size(), "1.1 s were left when it was sent; else it is late after 2.7 s");
    }

    @Test
    void noAttemptIsSentThatCantEndInTime() {
        var site = new Rig.Site().only(Rig.Site.worthlessLate(0));
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(0, 0);
        int sent = rig.said("assign").size();
        rig.pass(1_990 * MS);
        int before = rig.said("assign").size();
        for (int i = sent - 1; i < before; i++) {
            rig.ends(q + "/0", i, rig.leafOf(i), Outcome.ERROR, 1_990 * MS);
        }
        assertEquals(before, rig.said("assign").size());
        assertEquals(1, rig.said("refuse").size());
    }

    @Test
    void aQueryUnderWhichLeavesResetIsGivenUpAndItsLikeRefused() {
        var site = new Rig.Site();
        site.peers = true;
        var rig = new Rig(site).leaves(12).warm(12);
        String q = rig.query(0, 0, 4, 8);
        for (int i = 0; i < 2; i++) {
            String[] sent = rig.said("assign").get(i).split(" ");
            rig.now += 5 * MS;
            rig.ends(sent[1], 0, sent[2], Outcome.RESET, 5 * MS * (i + 1));
        }
        assertEquals(1, rig.said("refuse").size());
        assertTrue(rig.said.contains("tellPeers 9"), "the others are told to refuse it too");
        rig.said.clear();
        rig.query(0, 0, 4, 8);
        assertTrue(rig.said("assign").isEmpty());
        assertEquals(1, rig.said("refuse").size());
        rig.query(0, 2, 6, 10);
        assertEquals(1, rig.said("assign").size(), "one part of another query than " + q + " goes ahead");
        rig.answerAll(30 * MS);
        assertEquals(3, rig.said("assign").size(), "the others follow its answer");
    }

    @Test
    void afterAResetNothingMoreIsSentUntilAPartHasAnswered() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        String q = rig.query(0, 0, 3, 6);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.RESET, 80 * MS);
        assertEquals(3, rig.said("assign").size(), "the shard's other replica is not risked yet");
        rig.ends(q + "/3", 0, rig.leafOf(1), Outcome.OK, 90 * MS);
        assertEquals(4, rig.said("assign").size(), "a part has answered: the query does not kill");
    }

    @Test
    void aMassCrashDoesNotCondemnAQuery() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        String q = rig.query(0, 0, 4, 8);
        rig.now += 90 * MS;
        for (int i = 0; i < 2; i++) {
            String[] sent = rig.said("assign").get(i).split(" ");
            rig.ends(sent[1], 0, sent[2], Outcome.RESET, 90 * MS);
        }
        rig.ends(q + "/8", 0, rig.leafOf(2), Outcome.OK, 90 * MS);
        assertTrue(rig.said("refuse").isEmpty());
        assertEquals(5, rig.said("assign").size(), "both parts of " + q + " go to their other replicas");
    }

    @Test
    void aLeafThatStopsAnsweringIsIllAndComesBack() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        rig.query(0, 0);
        String ill = rig.leafOf(0);
        rig.pass(900 * MS);
        assertTrue(rig.said.contains("log leaf " + ill + " ill: silence"));
        rig.ends("q" + 48 + "/0", 0, ill, Outcome.OK, 900 * MS);
        assertTrue(rig.said.contains("log leaf " + ill + " well"));
    }

    /** Where many roots share the traffic, a leaf often has but one part of ours, and some parts are long. */
    @Test
    void oneLongPartAloneIsNoSilenceYet() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        rig.query(0, 0); // late after 0.4 s, a fifth of its aim
        rig.pass(700 * MS);
        assertTrue(rig.said("log").isEmpty());
        rig.pass(200 * MS);
        assertEquals(List.of("log leaf " + rig.leafOf(0) + " ill: silence"), rig.said("log"));
    }

    /** A whole zone may be gone, and each trial of each of its workers costs some query of each root its time. */
    @Test
    void aLeafOutOfReachIsTriedLessAndLess() {
        var site = new Rig.Site();
        site.layout = new RouterApi.Layout(12, 1, 1);
        var rig = new Rig(site).leaves(1).warm(1);
        int tried = 0;
        for (int i = 0; i < 900; i++) {
            rig.said.clear();
            rig.query(0, 0);
            for (String sent : rig.said("assign")) {
                rig.ends(sent.split(" ")[1], 0, "leaf0", Outcome.CONNECT_FAILED, MS);
                tried++;
            }
            rig.pass(20 * MS);
        }
        assertTrue(tried >= 5 && tried <= 15, "in 18 s, from 0.3 s to eight times as long: " + tried);
    }

    @Test
    void whatRunsOnceIsNoTrialOfASilentLeaf() {
        for (Effect effect : List.of(Effect.SAFE, Effect.UNSAFE)) {
            var rig = new Rig(new Rig.Site().only(Rig.Site.all(effect))).leaves(2).warm(2);
            String q = rig.query(0, 0);
            String silent = rig.leafOf(0);
            rig.pass(900 * MS);
            assertTrue(rig.said.contains("log leaf " + silent + " ill: silence"));
            rig.ends(q + "/0", 0, silent, Outcome.CANCELLED, 900 * MS);
            rig.now += 30_000 * MS;
            rig.said.clear();
            rig.query(0, 0);
            rig.query(0, 0);
            boolean tried = rig.said("assign").stream().anyMatch(l -> l.endsWith(silent));
            assertEquals(effect == Effect.SAFE, tried, effect + "");
        }
    }

    @Test
    void twoPartsUnansweredAreASilence() {
        var rig = new Rig(new Rig.Site()).leaves(2).warm(2);
        for (int i = 0; i < 4; i++) {
            rig.query(0, 0);
        }
        rig.pass(500 * MS);
        assertFalse(rig.said("log").isEmpty());
    }

    /** The other replica carries what a failing one does not: it is busy and slow, and still the better one. */
    @Test
    void aReplicaThatFailsMostPartsIsLeftAloneHoweverBusyTheOther() {
        var rig = failing(Effect.SAFE);
        rig.query(0, 0);
        rig.query(0, 0);
        rig.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1", "leaf1"), List.of(rig.leafOf(0), rig.leafOf(1), rig.leafOf(2)));
    }

    /** A part that runs once only is lost where it fails: that weighs as its class's aim. */
    @Test
    void whatMayNotRepeatKeepsAwayFromALeafThatHasFailedOfLate() {
        for (Effect effect : List.of(Effect.SAFE, Effect.UNSAFE)) {
            var rig = failing(effect);
            rig.now += 12_000 * MS; // the failures have faded to a sixteenth
            rig.query(0, 0);
            assertEquals(effect == Effect.SAFE ? "leaf0" : "leaf1", rig.leafOf(0), effect + "");
        }
    }

    /** Leaves 0 and 1 hold shard 0; leaf 0 is twice as fast, and has failed all of a burst. */
    private static Rig failing(Effect effect) {
        var rig = new Rig(new Rig.Site().only(Rig.Site.all(effect))).leaves(2);
        for (int i = 0; i < 24; i++) {
            if (i < 8) {
                rig.said.clear(); // these come one after another, and all are served
            }
            rig.query(0, 0);
            if (i < 8 || i == 23) {
                rig.pass(100 * MS);
                for (int n = 0; n < rig.said("assign").size(); n++) { // second attempts come behind
                    String[] sent = rig.said("assign").get(n).split(" ");
                    long attempt = rig.said("assign").subList(0, n).stream().filter(l -> l.contains(sent[1] + " "))
                            .count();
                    rig.ends(sent[1], (int) attempt, sent[2],
                            i == 23 && sent[2].equals("leaf0") ? Outcome.ERROR : Outcome.OK,
                            sent[2].equals("leaf0") ? 100 * MS : 200 * MS);
                }
            }
        }
        rig.said.clear();
        return rig;
    }

    @Test
    void aShardWithNoSoundReplicaIsRefusedAtOnceWithAComeBackTime() {
        var rig = new Rig(new Rig.Site()).leaves(2).warm(0);
        String q = rig.query(0, 5);
        assertEquals(1, rig.said("refuse").size());
        assertTrue(Long.parseLong(rig.said("refuse").get(0).split(" ")[2]) > 0, q);
    }

    @Test
    void discoveryIsAskedAgainUntilItAnswers() {
        var site = new Rig.Site();
        site.subscribe = true;
        var rig = new Rig(site);
        assertEquals(1, rig.said("subscribe").size());
        rig.brain.onList(rig.now, ListKind.BROKEN, List.of());
        rig.now += 5_000 * MS;
        rig.brain.onTimer(rig.now, "ask");
        assertEquals(2, rig.said("subscribe").size());
        rig.list(Rig.leaf(0, LeafState.UP, RouterApi.ABSENT));
        rig.now += 5_000 * MS;
        rig.brain.onTimer(rig.now, "ask");
        assertEquals(2, rig.said("subscribe").size());
    }

    // ---- other roots ----

    private static Rig.Site withPeers() {
        var site = new Rig.Site();
        site.roots = 5;
        site.peers = true;
        return site;
    }

    @Test
    void partsThatOtherRootsHaveOutCountUntilTheyFade() {
        var rig = new Rig(withPeers()).leaves(12);
        rig.hears(1, PeerMessage.write(List.of(Entry.parts("leaf0", 1))));
        rig.hears(2, PeerMessage.write(List.of(Entry.parts("leaf0", 2))));
        for (int i = 0; i < 3; i++) {
            rig.query(0, 0); // leaves 0 and 1 hold shard 0
            assertEquals("leaf1", rig.leafOf(i));
        }
        rig.said.clear();
        rig.hears(1, PeerMessage.write(List.of(Entry.parts("leaf0", 0))));
        rig.hears(2, PeerMessage.write(List.of(Entry.parts("leaf0", 0))));
        rig.query(0, 0);
        assertEquals("leaf0", rig.leafOf(0), "they have ended");
        rig.hears(1, PeerMessage.write(List.of(Entry.parts("leaf2", 5))));
        rig.pass(3_000 * MS);
        rig.said.clear();
        rig.query(0, 2);
        rig.query(0, 2);
        assertNotEquals(rig.leafOf(0), rig.leafOf(1), "a word that is not renewed fades");
    }

    @Test
    void anotherRootsWordOfIllnessIsAHintThatAnOwnAnswerOutweighs() {
        var rig = new Rig(withPeers()).leaves(12);
        rig.hears(1, PeerMessage.write(List.of(Entry.ill("leaf0"))));
        rig.query(0, 0);
        rig.query(0, 0);
        assertEquals(List.of("leaf1", "leaf1"), List.of(rig.leafOf(0), rig.leafOf(1)));
        for (int i = 0; i < 6; i++) {
            rig.query(0, 0);
        }
        assertTrue(rig.said("assign").stream().anyMatch(s -> s.endsWith("leaf0")), "a hint only, not a bar");
        String[] tried = rig.said("assign").stream().filter(s -> s.endsWith("leaf0")).findFirst().get().split(" ");
        rig.pass(50 * MS);
        rig.ends(tried[1], 0, "leaf0", Outcome.OK, 50 * MS);
        rig.said.clear();
        rig.query(0, 0);
        assertEquals("leaf0", rig.leafOf(0), "it has answered this root since");
    }

    @Test
    void ownPartsAndAnswersAreTold() {
        var rig = new Rig(withPeers()).leaves(12);
        String q = rig.query(0, 0);
        rig.pass(400 * MS);
        var sent = PeerMessage.entries(rig.told.get(0));
        assertEquals(List.of(Entry.parts(rig.leafOf(0), 1)), sent);
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.OK, 400 * MS);
        var last = PeerMessage.entries(rig.told.get(rig.told.size() - 1));
        assertTrue(last.stream().anyMatch(e -> e.isAnswer() && e.tag() == PeerMessage.tagOf(rig.leafOf(0))));
    }

    @Test
    void wordOfAKillingQueryMakesOnePartOfEachGoAhead() {
        var rig = new Rig(withPeers()).leaves(12).warm(12);
        rig.hears(1, PeerMessage.write(new PeerMessage.Ban(77, 1_000_000)));
        rig.query(0, 0, 4, 8);
        assertEquals(1, rig.said("assign").size());
        rig.answerAll(100 * MS);
        assertEquals(3, rig.said("assign").size());
        rig.pass(2_000 * MS);
        rig.said.clear();
        rig.query(0, 1, 5, 9);
        assertEquals(3, rig.said("assign").size(), "the alarm ends by itself");
    }

    @Test
    void oddMessagesAndUnknownRootsChangeNothing() {
        var rig = new Rig(withPeers()).leaves(12);
        var random = new Random(4);
        for (int length = 0; length < 300; length++) {
            var noise = new byte[length];
            random.nextBytes(noise);
            rig.hears(length % 9 - 2, noise);
        }
        rig.hears(99, PeerMessage.write(List.of(Entry.ill("leaf0"), Entry.parts("nowhere", 3))));
        rig.query(0, 0);
        assertEquals(1, rig.said("assign").size());
        assertTrue(PeerMessage.entries(new byte[] {9, 1, 2}).isEmpty(), "another kind");
        assertTrue(PeerMessage.entries(new byte[] {2, 1}).isEmpty(), "half an entry");
    }

    // ---- a root that stood still ----

    @Test
    void aRootThatStoodStillDoesNotBlameItsLeaves() {
        var rig = new Rig(new Rig.Site()).leaves(12).warm(12);
        String q = rig.query(0, 0);
        rig.now += 1_500 * MS; // no round for long: the sweep's timer and the answer are found together
        rig.brain.onTimer(rig.now, "sweep");
        rig.ends(q + "/0", 0, rig.leafOf(0), Outcome.OK, 1_500 * MS);
        assertEquals(List.of("answer " + q + " true"), rig.said("answer"));
        assertTrue(rig.said("log").isEmpty(), "its own gap is not silence of the leaf");
        String leaf = rig.leafOf(0);
        int again = 0;
        for (int i = 0; i < 8; i++) {
            rig.said.clear();
            rig.query(0, 0);
            again += rig.leafOf(0).equals(leaf) ? 1 : 0;
            rig.answerAll(100 * MS);
        }
        assertTrue(again > 0, "nor is the answer's time the leaf's");
    }

    // ---- odd input ----

    @Test
    void oddInputNeitherThrowsNorBreaksARule() {
        var rig = new Rig(new Rig.Site()).leaves(12);
        rig.brain.onQuery(rig.now, new QueryArrived("odd", 900, 99, 99, null, rig.now + 2_000_000, 0, 1, false));
        rig.brain.onPart(rig.now, new PartArrived("odd/0", 900, 0, 1, 0));
        rig.brain.onPart(rig.now, new PartArrived("stray", 901, 0, 1, 0));
        rig.brain.onEndOfRound(rig.now);
        rig.ends("unknown", 0, "leaf0", Outcome.OK, 1);
        rig.brain.onHangup(rig.now, "unknown");
        rig.brain.onTimer(rig.now, "unknown");
        rig.brain.onPeer(rig.now, 3, new byte[] {1});
        rig.ends("odd/0", 0, rig.leafOf(0), Outcome.OK, 10 * MS);
        assertEquals(List.of("answer odd true"), rig.said("answer"));
        String none = new Rig(new Rig.Site()).list().query(0, 0);
        assertEquals("q0", none);
    }

    @Test
    void wrongListsBreakNothing() {
        var rig = new Rig(new Rig.Site()).list(Rig.leaf(12, LeafState.UP, RouterApi.ABSENT),
                Rig.leaf(-1, LeafState.UP, RouterApi.ABSENT), Rig.leaf(1, LeafState.UP, LATER));
        rig.brain.onList(rig.now, ListKind.CHANGES, List.of(Rig.leaf(7, LeafState.REMOVED, RouterApi.ABSENT)));
        rig.brain.onList(rig.now, ListKind.STALE, List.of());
        rig.query(0, 0);
        assertTrue(rig.said("assign").isEmpty(), "the last whole list was empty");
        rig.list(Rig.leaf(12, LeafState.UP, RouterApi.ABSENT), Rig.leaf(1, LeafState.UP, LATER),
                Rig.leaf(1, LeafState.UP, LATER));
        rig.query(0, 0);
        assertEquals(1, rig.said("assign").size());
        assertEquals("leaf1", rig.leafOf(0), "cell 12 of 12 does not exist; a start in the future is cold");
        rig.query(0, 0);
        assertEquals(1, rig.said("assign").size());
    }

    @Test
    void partsAtOneMomentWithOddWeightsEndHonestly() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(0.6, 0.6))).leaves(12);
        rig.brain.onQuery(rig.now, new QueryArrived("w", 77, 0, 0, null, rig.now + 4_000_000, -5, 3, false));
        for (int i = 0; i < 3; i++) {
            rig.brain.onPart(rig.now, new PartArrived("w/" + i, 77, i * 3, i == 0 ? 1 : 0, -5));
        }
        rig.brain.onEndOfRound(rig.now);
        rig.brain.onEndOfRound(rig.now);
        for (String line : rig.said("assign")) {
            if (!line.contains("w/0")) {
                rig.ends(line.split(" ")[1], 0, line.split(" ")[2], Outcome.OK, 1);
            }
        }
        assertTrue(rig.said("answer").isEmpty(), "parts without weight are no answer");
        rig.pass(3_990 * MS);
        assertEquals(1, rig.said("refuse").size());
    }

    @Test
    void contradictorySettingsAreRefusedByName() {
        var rig = new Rig(new Rig.Site());
        var site = new Rig.Site();
        site.roots = 0;
        var refused = assertThrows(IllegalArgumentException.class, () -> new Brain(site.settings(), 1, rig));
        assertTrue(refused.getMessage().contains("settings.roots"));
        assertThrows(NullPointerException.class, () -> new Brain(null, 1, rig));
    }

    @Test
    void equalEventsGiveEqualActions() {
        assertEquals(story(), story());
    }

    private static List<String> story() {
        var rig = new Rig(new Rig.Site().only(Rig.Site.some(0.6, 0.6))).leaves(12);
        for (int i = 0; i < 30; i++) {
            rig.query(0, i % 12, (i + 3) % 12, (i + 5) % 12, (i + 7) % 12);
            rig.pass(40 * MS);
        }
        rig.answerAll(50 * MS);
        return rig.said;
    }

    /** A class that grew stricter holds for what comes, not for what is under way; a vanished one's place stays. */
    @Test
    void settingsChangeUnderWay() {
        var site = new Rig.Site();
        site.parallel = false;
        Rig rig = new Rig(site).leaves(12);
        String old = rig.query(0, 3);
        site.classes = List.of(Rig.Site.all(Effect.UNSAFE), Rig.Site.all(Effect.SAFE));
        site.maxAttempts = 2;
        rig.brain.onSettings(rig.now, site.settings(), Set.of());
        rig.ends(old + "/3", 0, rig.leafOf(0), Outcome.ERROR, 1000);
        assertEquals(2, rig.said("assign").size()); // it may be repeated, as when it came
        rig.ends(old + "/3", 1, rig.leafOf(1), Outcome.ERROR, 1000);
        assertEquals(2, rig.said("assign").size()); // though not so often any more
        String strict = rig.query(0, 5);
        rig.ends(strict + "/5", 0, rig.leafOf(2), Outcome.ERROR, 1000);
        assertEquals(3, rig.said("assign").size());
        assertTrue(rig.said("fail").contains("fail " + strict));
        rig.brain.onSettings(rig.now, site.settings(), Set.of(0)); // the class whose times all are held against
        String fresh = rig.query(1, 7);
        rig.ends(fresh + "/7", 0, rig.leafOf(3), Outcome.OK, 1000);
        assertTrue(rig.said("answer").contains("answer " + fresh + " true"));
    }

    @Test
    void settingsThatContradictThemselvesChangeNothing() {
        var site = new Rig.Site();
        Rig rig = new Rig(site).leaves(12);
        site.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> rig.brain.onSettings(rig.now, site.settings(), Set.of()));
        String q = rig.query(0, 3);
        rig.ends(q + "/3", 0, rig.leafOf(0), Outcome.ERROR, 1000);
        assertEquals(2, rig.said("assign").size());
    }

    @Test
    void theModuleKeepsToItsSize() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/wallmoor/decision/Brain.java"));
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1010);
        assertTrue(lines.stream().allMatch(l -> l.length() <= 110), "lines of at most 110 characters");
    }
}

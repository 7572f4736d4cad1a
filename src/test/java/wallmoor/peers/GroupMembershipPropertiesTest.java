package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import wallmoor.simulation.GroupSimulation;

/** The group's decider on the model: random faults, small cases exhaustively, and the same run twice. */
class GroupMembershipPropertiesTest {
    private static final long SECOND = 1_000_000;

    private static GroupSimulation started(int count, long seed) {
        var group = new GroupSimulation(count, MembershipParameters.of(count), seed);
        group.startAll();
        assertTrue(group.runUntilConverged(60 * SECOND) >= 0, "found each other");
        return group;
    }

    /** After random losses, cuts, pauses, kills and restarts all that are up agree again, and who is dead stays so. */
    @Property(tries = 60, seed = "11")
    void afterFaultsEndAllAgree(@ForAll @IntRange(min = 3, max = 12) int count, @ForAll long seed) {
        GroupSimulation group = started(count, seed);
        var random = new Random(seed);
        boolean[] down = new boolean[count];
        for (int i = 0; i < 8; i++) {
            int a = random.nextInt(count);
            int b = random.nextInt(count);
            switch (random.nextInt(6)) {
                case 0 -> group.setLink((from, to, now, r) -> r.nextDouble() < 0.3 ? -1 : 1_000 + r.nextLong(50_000));
                case 1 -> group.setLink((from, to, now, r) -> from == a && to != b ? -1 : 2_000);
                case 2 -> group.setLink((from, to, now, r) -> from <= a != to <= a ? -1 : 2_000);
                case 3 -> group.pause(a, SECOND * (1 + random.nextInt(20)));
                case 4 -> {
                    group.kill(a);
                    down[a] = true;
                }
                default -> {
                    group.start(b);
                    down[b] = false;
                }
            }
            group.run(random.nextInt(8) * SECOND);
        }
        group.setLink(GroupSimulation.RELIABLE);
        for (int i = 2; i < count; i++) { // a quorum must be there to remove those that are not
            if (down[i] && IntStream.range(0, count).filter(n -> !down[n]).count() * 2 <= count + 1) {
                group.start(i);
                down[i] = false;
            }
        }
        for (int i = 0; i < 2; i++) { // and a seed to be met at
            if (down[i]) {
                group.start(i);
                down[i] = false;
            }
        }
        assertTrue(group.runUntilConverged(90 * SECOND) >= 0, () -> IntStream.range(0, count).filter(n -> !down[n])
                .mapToObj(n -> "\n" + n + " " + group.view(n)).toList().toString());
    }

    /** Every way to part three to five members in two, and each with one of them killed: never two quorums. */
    @Example
    void twoSidesNeverBothHoldAQuorum() {
        for (int count = 3; count <= 5; count++) {
            for (int side = 1; side < (1 << count) - 1; side++) {
                for (int dead = -1; dead < count; dead++) {
                    GroupSimulation group = started(count, side * 31L + dead);
                    int here = side;
                    group.setLink((from, to, now, r) -> (here >> from & 1) != (here >> to & 1) ? -1 : 2_000);
                    if (dead >= 0) {
                        group.kill(dead);
                    }
                    group.run(20 * SECOND);
                    var holds = new ArrayList<Integer>();
                    for (int i = 0; i < count; i++) {
                        if (i != dead && group.view(i).hasQuorum()) {
                            holds.add(side >> i & 1);
                        }
                    }
                    assertTrue(holds.stream().distinct().count() <= 1, count + " " + side + " " + dead);
                    for (int i = 0; i < count; i++) { // and who has none has removed nobody
                        assertTrue(i == dead || group.view(i).hasQuorum()
                                || group.membersIn(i, GroupView.MemberState.REMOVED).isEmpty());
                    }
                }
            }
        }
    }

    /**
     * In a large group a few that are cut off suspect but those that they observe: what they don't hear of counts as
     * little.
     */
    @Example
    void ofALargeGroupAFewThatAreCutOffHoldNoQuorum() {
        for (int few : new int[] {1, 2, 6, 25}) {
            GroupSimulation group = started(60, few);
            group.setLink((from, to, now, r) -> from < few != to < few ? -1 : 2_000);
            group.run(20 * SECOND);
            for (int i = 0; i < 60; i++) {
                assertEquals(i >= few, group.view(i).hasQuorum(), few + ": m" + i + " " + group.view(i).reachable());
            }
        }
    }

    /**
     * Four and a half intervals after a cut nobody on the smaller side holds a quorum, though a tenth of all is lost.
     * Before members with silent ones beside them had to know the same as another, and gossiped to each in turn, an
     * update might be sent to one of three alone: the draws 0 (nothing lost), 101 and 118 held theirs for more than
     * eight.
     */
    @Example
    void aSmallerSideHoldsNoQuorumFourAndAHalfIntervalsAfterTheCut() {
        for (int draw : new int[] {0, 1, 101, 118}) {
            var random = new Random(draw * 7919L + 13);
            boolean half = draw >= 118;
            int count = (half ? 3 : 11) + random.nextInt(half ? 38 : 30);
            int side = half ? count / 2 : Math.min((count - 1) / 2, 2 + random.nextInt(4));
            var all = new ArrayList<>(IntStream.range(0, count).boxed().toList());
            Collections.shuffle(all, random);
            var small = new HashSet<>(all.subList(0, side));
            double loss = draw == 0 ? 0 : 0.1;
            GroupSimulation group = started(count, draw);
            group.run(random.nextInt(20) * SECOND / 2);
            group.setLink((from, to, now, r) -> small.contains(from) != small.contains(to) || r.nextDouble() < loss ? -1
                    : GroupSimulation.RELIABLE.delay(from, to, now, r));
            group.run(9 * SECOND / 2);
            for (int tick = 0; tick < 45; tick++) {
                String what = draw + ": " + small + " of " + count + " at " + tick;
                assertTrue(small.stream().noneMatch(i -> group.view(i).hasQuorum()), what);
                group.run(SECOND / 10);
            }
        }
    }

    /** One that hears nobody and suspects all: it alone has no quorum for it. */
    @Example
    void oneThatSuspectsAllTakesNobodysQuorum() {
        GroupSimulation group = started(12, 6);
        group.setLink((from, to, now, r) -> to == 3 && r.nextDouble() < 0.97 ? -1 : 2_000);
        for (int s = 0; s < 60; s++) {
            group.run(SECOND);
            for (int i = 0; i < 12; i++) {
                assertTrue(i == 3 || group.view(i).hasQuorum(), s + ": m" + i + " " + group.view(i));
            }
        }
    }

    @Property(tries = 10, seed = "3")
    void theSameEventsGiveTheSameView(@ForAll long seed) {
        var views = new ArrayList<List<GroupView>>();
        for (int run = 0; run < 2; run++) {
            GroupSimulation group = started(7, seed);
            group.setLink((from, to, now, r) -> r.nextDouble() < 0.2 ? -1 : 1_000 + r.nextLong(20_000));
            group.pause(3, 9 * SECOND);
            group.kill(5);
            group.run(30 * SECOND);
            views.add(IntStream.range(0, 7).filter(n -> n != 5).mapToObj(group::view).toList());
        }
        assertEquals(views.get(0), views.get(1));
    }

    /**
     * One that hears of each suspicion and says through a single other that it is there, while its observers never hear
     * it.
     */
    @Example
    void oneThatIsHeardByOneAloneIsCutForAllItsRefutations() {
        GroupSimulation group = started(40, 21);
        group.setLink((from, to, now, r) -> from == 9 && to != 0 ? -1 : 2_000);
        boolean cut = false;
        for (int s = 0; s < 30 && !cut; s++) {
            group.run(SECOND);
            cut = IntStream.range(1, 40).filter(i -> i != 9)
                    .allMatch(i -> group.membersIn(i, GroupView.MemberState.REMOVED).equals(List.of("m9")));
        }
        assertTrue(cut, group.view(1).toString());
        for (int s = 0; s < 60; s++) {
            group.run(SECOND);
            assertEquals(List.of("m9"), group.membersIn(1, GroupView.MemberState.REMOVED),
                    "its word alone does not bring it back");
        }
        group.setLink(GroupSimulation.RELIABLE);
        assertTrue(group.runUntilConverged(20 * SECOND) >= 0, group.view(1).toString());
    }

    /** What fails together goes together, in one or two changes everywhere and not one for each that suspects. */
    @Example
    void manyKilledAtOnceAreFewChanges() {
        GroupSimulation group = started(40, 12);
        group.run(20 * SECOND);
        long before = group.viewChanges(0);
        IntStream.range(30, 34).forEach(group::kill);
        var lists = new java.util.LinkedHashSet<List<String>>();
        for (int i = 0; i < 200; i++) {
            group.run(SECOND / 20);
            lists.add(group.membersIn(0, GroupView.MemberState.REMOVED));
        }
        assertEquals(List.of("m30", "m31", "m32", "m33"), group.membersIn(0, GroupView.MemberState.REMOVED));
        assertTrue(lists.size() <= 3, lists.toString());
        assertTrue(group.viewChanges(0) - before <= 4 + 2,
                "four suspected and at most two cuts: " + (group.viewChanges(0) - before));
        assertTrue(group.hasConverged());
    }

    /**
     * With some cut, others are their observers: what these cut already they say as well, or who is behind waits for
     * ever.
     */
    @Example
    void aFifthKilledAtOnceIsGoneEverywhere() {
        GroupSimulation group = started(250, 3);
        IntStream.range(200, 250).forEach(group::kill);
        assertTrue(group.runUntilConverged(15 * SECOND) >= 0, () -> IntStream.range(0, 200)
                .filter(i -> group.membersIn(i, GroupView.MemberState.REMOVED).size() < 50).boxed().toList()
                .toString());
    }

    /** What a dead member said long ago, played again, does not bring it back. */
    @Example
    void noDeadMemberIsBackByAnOldMessage() {
        GroupSimulation group = started(5, 4);
        long incarnation = group.view(0).members().stream().filter(m -> m.name().equals("m4")).findFirst().orElseThrow()
                .incarnation();
        group.kill(4);
        assertTrue(group.runUntilConverged(20 * SECOND) >= 0);
        var announced = new MembershipUpdate.Announcement("m4", "a4", incarnation, incarnation, false);
        for (int i = 0; i < 4; i++) {
            group.deliver(i,
                    new GroupMessage(GroupMessage.MessageKind.PROBE, announced, 7, null, 0, List.of(),
                            List.of(announced)));
            group.deliver(i, new GroupMessage(GroupMessage.MessageKind.UPDATES, announced, 0, null, 0, List.of(),
                    List.of(new MembershipUpdate.Suspicion("m0", 0, "m4", 9, true))));
        }
        group.run(10 * SECOND);
        assertTrue(group.hasConverged());
    }

    /** One bad member in a hundred: it is the only one that may go. */
    @Property(tries = 6, seed = "5")
    void oneBadLinkOrMemberHasNobodyElseRemoved(@ForAll @IntRange(min = 0, max = 3) int fault, @ForAll long seed) {
        int count = 30;
        GroupSimulation group = started(count, seed);
        group.setLink((from, to, now, r) -> switch (fault) {
            case 0 -> from == 9 && r.nextDouble() < 0.8 ? -1 : 2_000;
            case 1 -> to == 9 && r.nextDouble() < 0.8 ? -1 : 2_000;
            case 2 -> (from == 9 || to == 9) && now / SECOND % 2 == 0 ? -1 : 2_000;
            default -> from == 9 && to % 2 == 0 ? -1 : 2_000;
        });
        if (fault == 3) {
            group.pause(12, 10 * SECOND);
        }
        for (int s = 0; s < 60; s++) {
            group.run(SECOND);
            for (int i = 0; i < count; i++) {
                for (String gone : group.membersIn(i, GroupView.MemberState.REMOVED)) {
                    assertTrue(gone.equals("m9") || (fault == 3 && gone.equals("m12")),
                            fault + ": " + i + " removed " + gone);
                }
            }
        }
    }

    /** An incarnation begun by a process that left is not ended by its own notice. */
    @Example
    void whoLeftComesBackAndATwinYields() {
        GroupSimulation group = started(5, 9);
        group.leave(3);
        assertTrue(group.runUntilConverged(20 * SECOND) >= 0);
        group.start(3);
        assertTrue(group.runUntilConverged(30 * SECOND) >= 0);
        assertFalse(group.membersIn(0, GroupView.MemberState.LEFT).contains("m3"));
    }
}

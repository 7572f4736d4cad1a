package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import wallmoor.peers.GroupMessage.MessageKind;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/** The reactions of a single member to single events: answers, refutations and relayed probes. */
class GroupMembershipTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long BOOT_ID = 1_000;
    private static final Announcement OTHER = new Announcement("other", "o:1", 7, 7, false);
    private static final Announcement THIRD = new Announcement("third", "t:1", 8, 8, false);

    private record Sent(String address, GroupMessage message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<String> causes = new ArrayList<>();
    private final GroupMembership member = new GroupMembership("self", "s:1", BOOT_ID, List.of("o:1"),
            MembershipParameters.of(3), 5, new MembershipProtocol.Output() {
                @Override
                public void send(String address, GroupMessage message) {
                    sent.add(new Sent(address, message));
                }

                @Override
                public void viewChanged(GroupView view, String cause) {
                    causes.add(cause);
                }
            });

    private void receive(long now, MessageKind kind, Announcement sender, long sequence, String target,
            MembershipUpdate... updates) {
        sent.clear();
        member.onMessage(now, new GroupMessage(kind, sender, sequence, target, 0, List.of(), List.of(updates)));
    }

    @Example
    void sendsDigestsToSeedsAndAnswersProbes() {
        member.onStart(0);
        assertEquals("o:1", sent.get(0).address());
        assertEquals(MessageKind.DIGEST, sent.get(0).message().kind());
        assertEquals(GroupMessage.DIGEST_REQUEST, sent.get(0).message().sequence());
        receive(MICROS_PER_SECOND, MessageKind.PROBE, OTHER, 41, null);
        assertEquals(1, sent.size());
        assertEquals("o:1", sent.get(0).address());
        assertEquals(MessageKind.ACK, sent.get(0).message().kind());
        assertEquals(41, sent.get(0).message().sequence());
        assertNull(sent.get(0).message().target());
    }

    @Example
    void probesOnBehalfOfOtherAndRelaysAnswerOnce() {
        member.onStart(0);
        receive(1, MessageKind.INDIRECT_PROBE, OTHER, 41, "third");
        assertEquals(List.of(), sent, "the target is unknown");
        receive(2, MessageKind.UPDATES, THIRD, 0, null);
        receive(3, MessageKind.INDIRECT_PROBE, OTHER, 42, "third");
        assertEquals("t:1", sent.get(0).address());
        GroupMessage probe = sent.get(0).message();
        assertEquals(MessageKind.PROBE, probe.kind());
        receive(4, MessageKind.ACK, THIRD, probe.sequence(), null);
        assertEquals("o:1", sent.get(0).address());
        assertEquals(MessageKind.ACK, sent.get(0).message().kind());
        assertEquals(42, sent.get(0).message().sequence());
        assertEquals("third", sent.get(0).message().target());
        receive(5, MessageKind.ACK, THIRD, probe.sequence(), null);
        assertEquals(List.of(), sent);
    }

    @Example
    void refutesSuspicionByNewIncarnationWithLimitedRate() {
        member.onStart(0);
        receive(MICROS_PER_SECOND, MessageKind.PROBE, OTHER, 1, null, new Suspicion("self", BOOT_ID, "other", 9, true));
        assertEquals(BOOT_ID + 1, sent.get(0).message().sender().incarnation());
        assertEquals(1, member.counts().refutations());
        receive(5 * MICROS_PER_SECOND, MessageKind.PROBE, OTHER, 2, null,
                new Suspicion("self", BOOT_ID + 1, "other", 10, true));
        assertEquals(BOOT_ID + 1, sent.get(0).message().sender().incarnation(),
                "less than four and a half intervals after the last refutation");
        receive(6 * MICROS_PER_SECOND, MessageKind.PROBE, OTHER, 3, null,
                new Suspicion("self", BOOT_ID, "other", 11, true));
        assertEquals(BOOT_ID + 1, sent.get(0).message().sender().incarnation(), "suspicion of an earlier incarnation");
        receive(6 * MICROS_PER_SECOND, MessageKind.PROBE, OTHER, 4, null,
                new Suspicion("self", BOOT_ID + 1, "other", 12, true));
        assertEquals(BOOT_ID + 2, sent.get(0).message().sender().incarnation());
        assertEquals(2, member.counts().refutations());
    }

    /** Both processes announce newer incarnations in turn; after three conflicts the one that started later stops. */
    @Example
    void yieldsNameToProcessThatStartedEarlier() {
        member.onStart(0);
        long incarnation = BOOT_ID;
        for (int conflict = 1; conflict <= 3; conflict++) {
            var twin = new Announcement("self", "s:2", BOOT_ID - 1, incarnation + 1, false);
            receive(conflict, MessageKind.PROBE, twin, 1, null);
            assertEquals(List.of(), sent);
            receive(conflict, MessageKind.PROBE, OTHER, 2, null);
            incarnation = sent.get(0).message().sender().incarnation();
            assertEquals(twin.incarnation() + 1, incarnation);
        }
        receive(4, MessageKind.PROBE, new Announcement("self", "s:2", BOOT_ID - 1, incarnation, false), 1, null);
        assertTrue(causes.get(causes.size() - 1).startsWith("another process has this name"), causes.toString());
        receive(5, MessageKind.PROBE, OTHER, 3, null);
        assertEquals(List.of(), sent);
        assertFalse(member.view().hasQuorum());
    }

    @Example
    void answersDifferentDigestsWithDigestsOnceAndWithUpdates() {
        member.onStart(0);
        receive(1, MessageKind.UPDATES, THIRD, 0, null);
        receive(2, MessageKind.DIGEST, OTHER, GroupMessage.DIGEST_REQUEST, null);
        assertEquals(List.of(MessageKind.DIGEST, MessageKind.UPDATES),
                sent.stream().map(s -> s.message().kind()).toList());
        assertEquals(GroupMessage.DIGEST_REPLY, sent.get(0).message().sequence());
        assertTrue(sent.get(1).message().updates().contains(THIRD));
        receive(3, MessageKind.DIGEST, OTHER, GroupMessage.DIGEST_REPLY, null);
        assertEquals(List.of(MessageKind.UPDATES), sent.stream().map(s -> s.message().kind()).toList());
    }

    @Example
    void announcesLeavingAndSendsNothingAfterwards() {
        member.onStart(0);
        receive(1, MessageKind.UPDATES, THIRD, 0, null, OTHER);
        sent.clear();
        member.leave(2);
        assertEquals(List.of("o:1", "t:1"), sent.stream().map(Sent::address).sorted().toList());
        assertTrue(sent.stream().allMatch(s -> s.message().sender().hasLeft()));
        receive(3, MessageKind.PROBE, OTHER, 1, null);
        member.onTick(4);
        assertEquals(List.of(), sent);
    }
}

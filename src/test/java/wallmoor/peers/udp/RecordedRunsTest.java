package wallmoor.peers.udp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupView;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipProtocol;
import wallmoor.simulation.GroupSimulation;

/**
 * Runs of a group on the model under seeded faults, whose every message and every change of view is the same as when
 * they were recorded. What is meant to change the decisions records them anew; what only moves code must not.
 */
class RecordedRunsTest {
    private static final long SECOND = 1_000_000;
    private static final int FAULTS = 10;

    /** What the members of one run do, and a hash over all of it. */
    private static final class Trace {
        private final GroupMessageCodec wire = new GroupMessageCodec("khi");
        private final MessageDigest hash;
        private long messages;
        private long views;

        Trace() throws NoSuchAlgorithmException {
            hash = MessageDigest.getInstance("SHA-256");
        }

        void sent(String name, long now, String address, GroupMessage message) {
            messages++;
            try {
                text(name + ">" + address + "@" + now + ":");
                hash.update(wire.encode(message));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        void changed(String name, long now, GroupView view, String why) {
            views++;
            text(name + "@" + now + ":" + view.version() + " " + view.side() + " " + view.reachable() + "/"
                    + view.configuredSize() + " " + why);
            for (GroupView.Member m : view.members()) {
                text(m.name() + " " + m.address() + " " + m.incarnation() + " " + m.state() + " " + m.since() + " "
                        + m.suspectedBy());
            }
        }

        private void text(String text) {
            hash.update(text.getBytes(StandardCharsets.UTF_8));
            hash.update((byte) '\n');
        }

        String line() {
            return messages + " " + views + " " + HexFormat.of().formatHex(hash.digest());
        }
    }

    /** One member whose doings are traced. */
    private static final class TracedMember implements MembershipProtocol, MembershipProtocol.Output {
        private final String name;
        private final Trace trace;
        private final Output actions;
        private final MembershipProtocol traced;
        private long now;

        TracedMember(Trace trace, String name, String address, long boot, List<String> seeds,
                MembershipParameters rules, long seed,
                Output actions) {
            this.name = name;
            this.trace = trace;
            this.actions = actions;
            traced = new GroupMembership(name, address, boot, seeds, rules, seed, this);
        }

        @Override
        public void onStart(long at) {
            now = at;
            traced.onStart(at);
        }

        @Override
        public void onTick(long at) {
            now = at;
            traced.onTick(at);
        }

        @Override
        public void onMessage(long at, GroupMessage message) {
            now = at;
            traced.onMessage(at, message);
        }

        @Override
        public void leave(long at) {
            now = at;
            traced.leave(at);
        }

        @Override
        public GroupView view() {
            return traced.view();
        }

        @Override
        public void send(String address, GroupMessage message) {
            trace.sent(name, now, address, message);
            actions.send(address, message);
        }

        @Override
        public void viewChanged(GroupView view, String why) {
            trace.changed(name, now, view, why);
            actions.viewChanged(view, why);
        }
    }

    /** Plays a group of so many: messages, views and the hash over them. */
    static String play(int count, long seed) throws NoSuchAlgorithmException {
        var trace = new Trace();
        var group = new GroupSimulation(count, MembershipParameters.of(count), seed,
                (name, address, boot, seeds, rules, own, actions) -> new TracedMember(trace, name, address, boot, seeds,
                        rules, own, actions));
        group.startAll();
        group.run(15 * SECOND);
        var random = new Random(seed);
        boolean[] down = new boolean[count];
        for (int i = 0; i < FAULTS; i++) {
            int a = random.nextInt(count);
            switch (i % 6) {
                case 0 -> group.setLink((from, to, now, r) -> r.nextDouble() < 0.3 ? -1 : 1_000 + r.nextLong(50_000));
                case 1 -> group.setLink((from, to, now, r) -> from <= a != to <= a ? -1 : 2_000);
                case 2 -> {
                    group.setLink(GroupSimulation.RELIABLE);
                    group.pause(a, SECOND * (1 + random.nextInt(10)));
                }
                case 3 -> {
                    group.kill(a);
                    down[a] = true;
                }
                case 4 -> {
                    group.setLink((from, to, now, r) -> from == a ? -1 : 1_500);
                    if (!down[(a + 1) % count]) {
                        group.leave((a + 1) % count);
                        down[(a + 1) % count] = true;
                    }
                }
                default -> {
                    group.setLink(GroupSimulation.RELIABLE);
                    for (int n = 0; n < count; n++) {
                        if (down[n]) {
                            group.start(n);
                            down[n] = false;
                        }
                    }
                }
            }
            group.run((2 + random.nextInt(8)) * SECOND);
        }
        group.setLink(GroupSimulation.RELIABLE);
        group.run(20 * SECOND);
        return trace.line();
    }

    /** Each line: how many members, the seed, messages, changes of view, and the hash. */
    @Test
    void eachRunIsTheOneThatWasRecorded() throws Exception {
        String recorded;
        try (InputStream in = RecordedRunsTest.class.getResourceAsStream("/golden/peers/runs.txt")) {
            assertNotNull(in);
            recorded = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
        for (String run : recorded.lines().toList()) {
            String[] fields = run.split(" ", 3);
            assertEquals(fields[2], play(Integer.parseInt(fields[0]), Long.parseLong(fields[1])), run);
        }
    }
}

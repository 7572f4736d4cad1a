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
 * Simulated runs of a group with seeded faults, in which each message and each change of a view must equal the recorded
 * ones. A change that is meant to alter the protocol's decisions must record them again; a refactoring must not.
 */
class RecordedRunsTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int FAULT_COUNT = 10;

    /** Counts the messages and changes of views in one run, and computes a hash of them. */
    private static final class Trace {
        private final GroupMessageCodec codec = new GroupMessageCodec("khi");
        private final MessageDigest hash;
        private long messages;
        private long viewChanges;

        Trace() throws NoSuchAlgorithmException {
            hash = MessageDigest.getInstance("SHA-256");
        }

        void onMessageSent(String name, long now, String address, GroupMessage message) {
            messages++;
            try {
                hashLine(name + ">" + address + "@" + now + ":");
                hash.update(codec.encode(message));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        void onViewChanged(String name, long now, GroupView view, String cause) {
            viewChanges++;
            hashLine(name + "@" + now + ":" + view.version() + " " + view.side() + " " + view.reachable() + "/"
                    + view.configuredSize() + " " + cause);
            for (GroupView.Member member : view.members()) {
                hashLine(member.name() + " " + member.address() + " " + member.incarnation() + " " + member.state()
                        + " " + member.since() + " " + member.suspectedBy());
            }
        }

        private void hashLine(String line) {
            hash.update(line.getBytes(StandardCharsets.UTF_8));
            hash.update((byte) '\n');
        }

        /** Returns the counts and the hash in the form of the recorded file. */
        String summary() {
            return messages + " " + viewChanges + " " + HexFormat.of().formatHex(hash.digest());
        }
    }

    /** A member whose messages and changes of view are added to the trace. */
    private static final class TracedMember implements MembershipProtocol, MembershipProtocol.Output {
        private final String name;
        private final Trace trace;
        private final Output output;
        private final MembershipProtocol traced;
        private long now;

        TracedMember(Trace trace, String name, String address, long bootId, List<String> seeds,
                MembershipParameters parameters, long seed,
                Output output) {
            this.name = name;
            this.trace = trace;
            this.output = output;
            traced = new GroupMembership(name, address, bootId, seeds, parameters, seed, this);
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
            trace.onMessageSent(name, now, address, message);
            output.send(address, message);
        }

        @Override
        public void viewChanged(GroupView view, String cause) {
            trace.onViewChanged(name, now, view, cause);
            output.viewChanged(view, cause);
        }
    }

    /** Simulates a group of {@code count} members with faults; returns its messages, view changes and hash. */
    static String simulate(int count, long seed) throws NoSuchAlgorithmException {
        var trace = new Trace();
        var group = new GroupSimulation(count, MembershipParameters.of(count), seed,
                (name, address, bootId, seeds, parameters, memberSeed, output) -> new TracedMember(trace, name, address,
                        bootId, seeds, parameters, memberSeed, output));
        group.startAll();
        group.run(15 * MICROS_PER_SECOND);
        var random = new Random(seed);
        boolean[] down = new boolean[count];
        for (int i = 0; i < FAULT_COUNT; i++) {
            int a = random.nextInt(count);
            switch (i % 6) {
                case 0 -> group.setLink((from, to, now, r) -> r.nextDouble() < 0.3 ? -1 : 1_000 + r.nextLong(50_000));
                case 1 -> group.setLink((from, to, now, r) -> from <= a != to <= a ? -1 : 2_000);
                case 2 -> {
                    group.setLink(GroupSimulation.RELIABLE);
                    group.pause(a, MICROS_PER_SECOND * (1 + random.nextInt(10)));
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
            group.run((2 + random.nextInt(8)) * MICROS_PER_SECOND);
        }
        group.setLink(GroupSimulation.RELIABLE);
        group.run(20 * MICROS_PER_SECOND);
        return trace.summary();
    }

    /** Each recorded line holds the number of members, the seed, the messages, the view changes and the hash. */
    @Test
    void runsEqualRecordedOnes() throws Exception {
        String recorded;
        try (InputStream in = RecordedRunsTest.class.getResourceAsStream("/golden/peers/runs.txt")) {
            assertNotNull(in);
            recorded = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
        for (String run : recorded.lines().toList()) {
            String[] fields = run.split(" ", 3);
            assertEquals(fields[2], simulate(Integer.parseInt(fields[0]), Long.parseLong(fields[1])), run);
        }
    }
}

package wallmoor.peers.udp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.MembershipUpdate;
import wallmoor.standin.Ports;

/**
 * Compatibility of the message format, version 2, with recorded messages, so that gatherers of this version and of the
 * one that wrote the files understand each other. A file of {@code golden/peers} is one message in hexadecimal digits.
 */
class GoldenMessagesTest {
    private static final String INSTALLATION = "khi";
    private static final int BUCKETS = 64;
    private static final int ACCEPT_MILLIS = 20_000;
    /** More than 32 bits, like a start time on the wall clock in microseconds. */
    private static final long BOOT_ID = 1_764_686_400_123_456L;

    private static final MembershipUpdate.Announcement SENDER = new MembershipUpdate.Announcement("gatherer-1",
            "10.0.0.1:7946", BOOT_ID, BOOT_ID + 2, false);
    private static final MembershipUpdate.Announcement OTHER_MEMBER = new MembershipUpdate.Announcement("gatherer-2",
            "10.0.0.2:7946", BOOT_ID + 9, BOOT_ID + 9, false);
    private static final MembershipUpdate.Announcement LEFT_MEMBER = new MembershipUpdate.Announcement("gatherer-3",
            "10.0.0.3:7946", 7, 23, true);
    private static final MembershipUpdate.Suspicion SUSPICION = new MembershipUpdate.Suspicion("gatherer-2",
            BOOT_ID + 9,
            "gatherer-1", BOOT_ID + 40, true);
    private static final MembershipUpdate.Suspicion SECOND_SUSPICION = new MembershipUpdate.Suspicion("gatherer-2",
            BOOT_ID + 9, "gatherer-4", 24, true);
    private static final MembershipUpdate.Suspicion WITHDRAWN_SUSPICION = new MembershipUpdate.Suspicion("gatherer-5",
            255, "gatherer-1", 256, false);

    /** Returns the recorded messages by file name. */
    private static Map<String, GroupMessage> messages() {
        List<Long> digests = LongStream.range(0, BUCKETS).map(i -> (i - 3) * 0x9e3779b97f4a7c15L).boxed().toList();
        var all = new LinkedHashMap<String, GroupMessage>();
        all.put("probe",
                new GroupMessage(GroupMessage.MessageKind.PROBE, SENDER, BOOT_ID + 41, null, -2, List.of(), List.of()));
        all.put("probe-with-news",
                new GroupMessage(GroupMessage.MessageKind.PROBE, SENDER, 1, null, Long.MIN_VALUE, List.of(),
                        List.of(OTHER_MEMBER, SUSPICION, SECOND_SUSPICION, WITHDRAWN_SUSPICION, LEFT_MEMBER)));
        all.put("ack",
                new GroupMessage(GroupMessage.MessageKind.ACK, SENDER, BOOT_ID + 41, null, 0, List.of(),
                        List.of(OTHER_MEMBER)));
        all.put("ack-relayed",
                new GroupMessage(GroupMessage.MessageKind.ACK, SENDER, 23, "gatherer-2", Long.MAX_VALUE, List.of(),
                        List.of()));
        all.put("ask", new GroupMessage(GroupMessage.MessageKind.INDIRECT_PROBE, SENDER, 24, "gatherer-2", 5, List.of(),
                List.of(SUSPICION)));
        all.put("exchange",
                new GroupMessage(GroupMessage.MessageKind.DIGEST, SENDER, 0, null, -1, digests, List.of(OTHER_MEMBER)));
        all.put("exchange-asked-back",
                new GroupMessage(GroupMessage.MessageKind.DIGEST, SENDER, 1, null, -1, digests, List.of()));
        all.put("table", new GroupMessage(GroupMessage.MessageKind.UPDATES, SENDER, 0, null, 100, List.of(),
                List.of(SENDER, OTHER_MEMBER, SUSPICION, SECOND_SUSPICION, LEFT_MEMBER, WITHDRAWN_SUSPICION)));
        return all;
    }

    /** Returns a message that is too large for a datagram. */
    private static GroupMessage largeTable() {
        var updates = new ArrayList<MembershipUpdate>();
        for (int i = 0; i < 24; i++) {
            updates.add(new MembershipUpdate.Announcement("gatherer-" + i, "10.0.0." + i + ":7946", BOOT_ID + i,
                    BOOT_ID + 2L * i, i % 5 == 4));
            if (i % 3 == 0) {
                updates.add(new MembershipUpdate.Suspicion("gatherer-" + i, BOOT_ID + 2L * i, "gatherer-1", i, true));
                updates.add(
                        new MembershipUpdate.Suspicion("gatherer-" + i, BOOT_ID + 2L * i, "gatherer-2", i, i % 2 == 0));
            }
        }
        return new GroupMessage(GroupMessage.MessageKind.UPDATES, SENDER, 0, null, 3, List.of(), updates);
    }

    private static byte[] golden(String name) throws IOException {
        try (InputStream in = GoldenMessagesTest.class.getResourceAsStream("/golden/peers/" + name + ".hex")) {
            assertNotNull(in, name);
            return HexFormat.of().parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .replaceAll("\\s", ""));
        }
    }

    @Test
    void encodesAndDecodesEachKindAsRecorded() throws Exception {
        var codec = new GroupMessageCodec(INSTALLATION);
        var kinds = EnumSet.noneOf(GroupMessage.MessageKind.class);
        for (var message : messages().entrySet()) {
            byte[] bytes = golden(message.getKey());
            assertTrue(bytes.length <= GroupMessageCodec.MAX_DATAGRAM_BYTES, message.getKey());
            assertEquals(message.getValue(), codec.decode(bytes, bytes.length, GroupMessageCodec.MAX_DATAGRAM_BYTES),
                    message.getKey());
            assertArrayEquals(bytes, codec.encode(message.getValue()), message.getKey());
            kinds.add(message.getValue().kind());
        }
        assertEquals(EnumSet.allOf(GroupMessage.MessageKind.class), kinds);
    }

    /** The last updates are omitted if they don't fit a datagram. */
    @Test
    void omitsLastUpdatesOfLargeDatagramAsRecorded() throws Exception {
        var updates = new ArrayList<MembershipUpdate>();
        IntStream.range(0, 40).forEach(
                i -> updates
                        .add(new MembershipUpdate.Announcement("gatherer-" + i, "10.0.0.9:7946", BOOT_ID, i, false)));
        byte[] bytes = golden("ack-cut");
        var complete = new GroupMessage(GroupMessage.MessageKind.ACK, SENDER, 9, null, 8, List.of(), updates);
        assertArrayEquals(bytes, new GroupMessageCodec(INSTALLATION).encode(complete));
        GroupMessage decoded = new GroupMessageCodec(INSTALLATION).decode(bytes, bytes.length,
                GroupMessageCodec.MAX_DATAGRAM_BYTES);
        assertEquals(updates.subList(0, decoded.updates().size()), decoded.updates());
        assertTrue(decoded.updates().size() < updates.size());
    }

    /** A table over a connection consists of its length in four bytes and the message. */
    @Test
    void sendsTableOverConnectionAsRecorded() throws Exception {
        byte[] bytes = golden("table-by-connection");
        byte[] table = new GroupMessageCodec(INSTALLATION).encode(largeTable());
        assertTrue(table.length > GroupMessageCodec.MAX_DATAGRAM_BYTES);
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var tables = new TableTransfer(Ports.freeAddress(), new TransportCounters(), b -> {})) {
            server.setSoTimeout(ACCEPT_MILLIS);
            tables.start();
            assertTrue(tables.offer((InetSocketAddress) server.getLocalSocketAddress(), table));
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(ACCEPT_MILLIS);
                assertArrayEquals(bytes, connection.getInputStream().readAllBytes());
            }
        }
        byte[] message = java.util.Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length);
        assertEquals(largeTable(),
                new GroupMessageCodec(INSTALLATION).decode(message, message.length, GroupMessageCodec.MAX_TABLE_BYTES));
    }
}

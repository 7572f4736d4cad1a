package wallmoor.peers.udp;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupMessage.MessageKind;
import wallmoor.peers.MembershipUpdate;
import wallmoor.peers.MembershipUpdate.Announcement;
import wallmoor.peers.MembershipUpdate.Suspicion;

/**
 * Encodes and decodes messages. The format is a CBOR array (RFC 8949) of the format version, the installation's name
 * and the message's fields in a fixed order. A message that deviates from it is dropped with a {@link DropReason},
 * without any effect.
 */
final class GroupMessageCodec {
    /** With its headers, a datagram of this size fits an Ethernet frame, even through a tunnel. */
    static final int MAX_DATAGRAM_BYTES = 1_200;
    /** Sufficient for ten thousand members with about 60 bytes each, and suspicions. */
    static final int MAX_TABLE_BYTES = 2 * 1024 * 1024;
    private static final int FORMAT_VERSION = 2;
    private static final int MAX_TEXT_CHARS = 128;
    private static final int MAX_BUCKETS = 64;
    /** The smallest encoded update, which limits the number of updates in a message. */
    private static final int MIN_UPDATE_BYTES = 6;
    private static final int ANNOUNCEMENT = 0;
    private static final int SUSPICIONS = 1;
    private static final int INITIAL_BUFFER_BYTES = 256;
    /** The kinds of messages; the number of a kind on the wire is its index. */
    private static final List<MessageKind> KINDS = List.of(MessageKind.PROBE, MessageKind.ACK,
            MessageKind.INDIRECT_PROBE, MessageKind.DIGEST, MessageKind.UPDATES);

    private final CBORFactory factory = new CBORFactory();
    private final String installation;

    GroupMessageCodec(String installation) {
        this.installation = installation;
    }

    /**
     * Encodes a message. The last updates are omitted as far as necessary to fit a datagram, except for messages of
     * kind {@link MessageKind#UPDATES}, which are always complete.
     */
    byte[] encode(GroupMessage message) throws IOException {
        int count = message.updates().size();
        byte[] bytes = encode(message, message.updates());
        while (bytes.length > MAX_DATAGRAM_BYTES && count > 0 && message.kind() != MessageKind.UPDATES) {
            count--;
            bytes = encode(message, message.updates().subList(0, count));
        }
        return bytes;
    }

    private byte[] encode(GroupMessage message, List<MembershipUpdate> updates) throws IOException {
        var bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (CBORGenerator out = factory.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(FORMAT_VERSION);
            out.writeString(installation);
            out.writeNumber(KINDS.indexOf(message.kind()));
            encodeAnnouncement(out, message.sender());
            out.writeNumber(message.sequence());
            out.writeString(message.target() == null ? "" : message.target());
            out.writeNumber(message.digest());
            out.writeNumber(message.bucketDigests().size());
            for (long digest : message.bucketDigests()) {
                out.writeNumber(digest);
            }
            encodeUpdates(out, updates);
            out.writeEndArray();
        }
        return bytes.toByteArray();
    }

    private static void encodeUpdates(CBORGenerator out, List<MembershipUpdate> updates) throws IOException {
        out.writeNumber(updates.size());
        int index = 0;
        while (index < updates.size()) {
            if (updates.get(index) instanceof Announcement announcement) {
                out.writeNumber(ANNOUNCEMENT);
                encodeAnnouncement(out, announcement);
                index++;
            } else {
                index += encodeSuspicions(out, updates.subList(index, updates.size()));
            }
        }
    }

    /** Encodes the leading suspicions of the same incarnation of a member as one block; returns their number. */
    private static int encodeSuspicions(CBORGenerator out, List<MembershipUpdate> updates) throws IOException {
        MembershipUpdate first = updates.get(0);
        int count = 1;
        while (count < updates.size() && updates.get(count) instanceof Suspicion s && s.name().equals(first.name())
                && s.incarnation() == first.incarnation()) {
            count++;
        }
        out.writeNumber(SUSPICIONS);
        out.writeString(first.name());
        out.writeNumber(first.incarnation());
        out.writeNumber(count);
        for (MembershipUpdate update : updates.subList(0, count)) {
            Suspicion suspicion = (Suspicion) update;
            out.writeString(suspicion.observer());
            out.writeNumber(suspicion.sequence());
            out.writeBoolean(suspicion.isActive());
        }
        return count;
    }

    private static void encodeAnnouncement(CBORGenerator out, Announcement announcement) throws IOException {
        out.writeString(announcement.name());
        out.writeString(announcement.address());
        out.writeNumber(announcement.bootId());
        out.writeNumber(announcement.incarnation());
        out.writeBoolean(announcement.hasLeft());
    }

    /**
     * Decodes a message from a datagram or a connection.
     *
     * @param length   number of received bytes
     * @param maxBytes maximum length on this transport
     * @throws DroppedMessageException if the message is too long or malformed, or has another version or installation
     */
    GroupMessage decode(byte[] bytes, int length, int maxBytes) throws DroppedMessageException {
        if (length > maxBytes) {
            throw new DroppedMessageException(DropReason.TOO_LONG);
        }
        try (JsonParser in = factory.createParser(bytes, 0, length)) {
            expect(in.nextToken() == JsonToken.START_ARRAY);
            if (decodeLong(in) != FORMAT_VERSION) {
                throw new DroppedMessageException(DropReason.VERSION);
            }
            if (!decodeText(in).equals(installation)) {
                throw new DroppedMessageException(DropReason.INSTALLATION);
            }
            GroupMessage message = decodeMessage(in, length);
            expect(in.nextToken() == JsonToken.END_ARRAY && in.nextToken() == null);
            return message;
        } catch (IOException | RuntimeException e) {
            // The parser throws exceptions of both types on malformed input.
            throw new DroppedMessageException(DropReason.MALFORMED);
        }
    }

    private static GroupMessage decodeMessage(JsonParser in, int length) throws IOException, DroppedMessageException {
        long kind = decodeLong(in);
        expect(kind >= 0 && kind < KINDS.size());
        Announcement sender = decodeAnnouncement(in);
        expect(!sender.name().isEmpty());
        long sequence = decodeLong(in);
        String target = decodeText(in);
        long digest = decodeLong(in);
        List<Long> bucketDigests = decodeBucketDigests(in);
        List<MembershipUpdate> updates = decodeUpdates(in, length);
        return new GroupMessage(KINDS.get((int) kind), sender, sequence, target.isEmpty() ? null : target, digest,
                bucketDigests, updates);
    }

    private static List<Long> decodeBucketDigests(JsonParser in) throws IOException, DroppedMessageException {
        long count = decodeLong(in);
        expect(count >= 0 && count <= MAX_BUCKETS);
        var digests = new ArrayList<Long>();
        for (long i = 0; i < count; i++) {
            digests.add(decodeLong(in));
        }
        return digests;
    }

    private static List<MembershipUpdate> decodeUpdates(JsonParser in, int length)
            throws IOException,
            DroppedMessageException {
        long count = decodeLong(in);
        expect(count >= 0 && count <= length / MIN_UPDATE_BYTES);
        var updates = new ArrayList<MembershipUpdate>();
        while (updates.size() < count) {
            long type = decodeLong(in);
            expect(type == ANNOUNCEMENT || type == SUSPICIONS);
            if (type == ANNOUNCEMENT) {
                updates.add(decodeAnnouncement(in));
            } else {
                decodeSuspicions(in, count - updates.size(), updates);
            }
        }
        return updates;
    }

    private static void decodeSuspicions(JsonParser in, long maxCount, List<MembershipUpdate> updates)
            throws IOException,
            DroppedMessageException {
        String name = decodeText(in);
        long incarnation = decodeLong(in);
        long count = decodeLong(in);
        expect(count > 0 && count <= maxCount);
        for (long i = 0; i < count; i++) {
            updates.add(new Suspicion(name, incarnation, decodeText(in), decodeLong(in), decodeFlag(in)));
        }
    }

    private static Announcement decodeAnnouncement(JsonParser in) throws IOException, DroppedMessageException {
        return new Announcement(decodeText(in), decodeText(in), decodeLong(in), decodeLong(in), decodeFlag(in));
    }

    /** Drops the message as malformed if the condition is false. */
    private static void expect(boolean condition) throws DroppedMessageException {
        if (!condition) {
            throw new DroppedMessageException(DropReason.MALFORMED);
        }
    }

    private static long decodeLong(JsonParser in) throws IOException, DroppedMessageException {
        expect(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static String decodeText(JsonParser in) throws IOException, DroppedMessageException {
        expect(in.nextToken() == JsonToken.VALUE_STRING && in.getTextLength() <= MAX_TEXT_CHARS);
        return in.getText();
    }

    private static boolean decodeFlag(JsonParser in) throws IOException, DroppedMessageException {
        JsonToken token = in.nextToken();
        expect(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }
}

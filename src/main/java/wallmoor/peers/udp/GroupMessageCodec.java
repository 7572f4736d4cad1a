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
 * Encodes messages: a CBOR array (RFC 8949) of the form's version, the installation's name and the message's fields, in
 * a fixed order. What does not have exactly this form is dropped with a {@link DropReason}, and nothing of it is used.
 */
final class GroupMessageCodec {
    /** A datagram with its headers fits an Ethernet frame, tunnels included. */
    static final int MAX_DATAGRAM_BYTES = 1_200;
    /** Bytes of a table at most, which go by themselves: some 60 for each of ten thousand members, and suspicions. */
    static final int MAX_TABLE_BYTES = 2 * 1024 * 1024;
    private static final int VERSION = 2;
    private static final int MAX_TEXT_CHARS = 128;
    private static final int MAX_BUCKETS = 64;
    /** The least that an update takes: more of them than that can't be there. */
    private static final int MIN_UPDATE_BYTES = 6;
    private static final int ANNOUNCEMENT = 0;
    private static final int SUSPICIONS = 1;
    private static final int TYPICAL_BYTES = 256;
    /** A kind is its place in this list. */
    private static final List<MessageKind> KINDS = List.of(MessageKind.PROBE, MessageKind.ACK,
            MessageKind.INDIRECT_PROBE, MessageKind.DIGEST, MessageKind.UPDATES);

    private final CBORFactory factory = new CBORFactory();
    private final String installation;

    GroupMessageCodec(String installation) {
        this.installation = installation;
    }

    /** The bytes of a message: of its updates as many as fit a datagram, and all of a table's. */
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
        var bytes = new ByteArrayOutputStream(TYPICAL_BYTES);
        try (CBORGenerator out = factory.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
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
        int done = 0;
        while (done < updates.size()) {
            if (updates.get(done) instanceof Announcement announcement) {
                out.writeNumber(ANNOUNCEMENT);
                encodeAnnouncement(out, announcement);
                done++;
            } else {
                done += encodeSuspicions(out, updates.subList(done, updates.size()));
            }
        }
    }

    /** Those suspicions of one incarnation that come first, together; how many they were. */
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
        out.writeBoolean(announcement.left());
    }

    /**
     * The message in a datagram, or in a table's connection.
     *
     * @param length bytes that came
     * @param most   bytes that may come that way
     */
    GroupMessage decode(byte[] bytes, int length, int most) throws DroppedMessageException {
        if (length > most) {
            throw new DroppedMessageException(DropReason.TOO_LONG);
        }
        try (JsonParser in = factory.createParser(bytes, 0, length)) {
            expect(in.nextToken() == JsonToken.START_ARRAY);
            if (decodeLong(in) != VERSION) {
                throw new DroppedMessageException(DropReason.VERSION);
            }
            if (!decodeText(in).equals(installation)) {
                throw new DroppedMessageException(DropReason.INSTALLATION);
            }
            GroupMessage message = decodeMessage(in, length);
            expect(in.nextToken() == JsonToken.END_ARRAY && in.nextToken() == null);
            return message;
        } catch (IOException | RuntimeException e) {
            throw new DroppedMessageException(DropReason.MALFORMED); // the library's own faults may be of either type
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
            long form = decodeLong(in);
            expect(form == ANNOUNCEMENT || form == SUSPICIONS);
            if (form == ANNOUNCEMENT) {
                updates.add(decodeAnnouncement(in));
            } else {
                decodeSuspicions(in, count - updates.size(), updates);
            }
        }
        return updates;
    }

    private static void decodeSuspicions(JsonParser in, long most, List<MembershipUpdate> updates)
            throws IOException,
            DroppedMessageException {
        String name = decodeText(in);
        long incarnation = decodeLong(in);
        long count = decodeLong(in);
        expect(count > 0 && count <= most);
        for (long i = 0; i < count; i++) {
            updates.add(new Suspicion(name, incarnation, decodeText(in), decodeLong(in), decodeFlag(in)));
        }
    }

    private static Announcement decodeAnnouncement(JsonParser in) throws IOException, DroppedMessageException {
        return new Announcement(decodeText(in), decodeText(in), decodeLong(in), decodeLong(in), decodeFlag(in));
    }

    private static void expect(boolean isSo) throws DroppedMessageException {
        if (!isSo) {
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

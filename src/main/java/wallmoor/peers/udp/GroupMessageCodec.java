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
import wallmoor.peers.MembershipUpdate;

/**
 * A message as a datagram: a CBOR array of the form's version, the installation's name and the message's fields, in a
 * fixed order. What does not have exactly this form is told apart by why, and nothing of it is used.
 */
final class GroupMessageCodec {
    /** A datagram with its headers fits an Ethernet frame, tunnels included. */
    static final int MAX_DATAGRAM_BYTES = 1_200;
    /** Bytes of a table at most, which go by themselves: some 60 for each of ten thousand members, and doubts. */
    static final int MAX_TABLE_BYTES = 2 * 1024 * 1024;
    private static final int VERSION = 2;
    private static final int MOST_TEXT = 128;
    private static final int MOST_GROUPS = 64;
    /** The least that a piece of news takes: more of them than that can't be there. */
    private static final int LEAST_NEWS = 6;
    private static final int TOLD = 0;
    private static final int DOUBTS = 1;

    private final CBORFactory factory = new CBORFactory();
    private final String installation;

    GroupMessageCodec(String installation) {
        this.installation = installation;
    }

    /** Why a datagram was dropped. */
    static final class DroppedMessageException extends Exception {
        private static final long serialVersionUID = 1;
        final transient DropReason reason;

        DroppedMessageException(DropReason why) {
            super(why.toString(), null, false, false);
            this.reason = why;
        }
    }

    /** Kinds of what is dropped, counted apart. */
    enum DropReason {
        MALFORMED, VERSION, INSTALLATION, TOO_LONG, UNSENT
    }

    /** The bytes of a message: of its news as much as fits a datagram, and all of a table. */
    byte[] encode(GroupMessage m) throws IOException {
        for (int n = m.updates().size();; n--) {
            byte[] bytes = encode(m, m.updates().subList(0, n));
            if (bytes.length <= MAX_DATAGRAM_BYTES || n == 0 || m.kind() == GroupMessage.MessageKind.UPDATES) {
                return bytes;
            }
        }
    }

    private byte[] encode(GroupMessage m, List<MembershipUpdate> news) throws IOException {
        var to = new ByteArrayOutputStream(256);
        try (CBORGenerator out = factory.createGenerator(to)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
            out.writeString(installation);
            out.writeNumber(m.kind().ordinal());
            told(out, m.sender());
            out.writeNumber(m.sequence());
            out.writeString(m.target() == null ? "" : m.target());
            out.writeNumber(m.digest());
            out.writeNumber(m.bucketDigests().size());
            for (long group : m.bucketDigests()) {
                out.writeNumber(group);
            }
            out.writeNumber(news.size());
            for (int i = 0; i < news.size(); i++) {
                if (news.get(i) instanceof MembershipUpdate.Announcement t) {
                    out.writeNumber(TOLD);
                    told(out, t);
                } else {
                    i += doubts(out, news.subList(i, news.size())) - 1;
                }
            }
            out.writeEndArray();
        }
        return to.toByteArray();
    }

    /** Those doubts of one life that come first, together; how many they were. */
    private static int doubts(CBORGenerator out, List<MembershipUpdate> news) throws IOException {
        MembershipUpdate first = news.get(0);
        int n = 1;
        while (n < news.size() && news.get(n) instanceof MembershipUpdate.Suspicion d && d.name().equals(first.name())
                && d.incarnation() == first.incarnation()) {
            n++;
        }
        out.writeNumber(DOUBTS);
        out.writeString(first.name());
        out.writeNumber(first.incarnation());
        out.writeNumber(n);
        for (MembershipUpdate each : news.subList(0, n)) {
            MembershipUpdate.Suspicion d = (MembershipUpdate.Suspicion) each;
            out.writeString(d.observer());
            out.writeNumber(d.sequence());
            out.writeBoolean(d.isActive());
        }
        return n;
    }

    private static void told(CBORGenerator out, MembershipUpdate.Announcement t) throws IOException {
        out.writeString(t.name());
        out.writeString(t.address());
        out.writeNumber(t.bootId());
        out.writeNumber(t.incarnation());
        out.writeBoolean(t.left());
    }

    /** The message in a datagram, or in a table's connection with its own bound. */
    GroupMessage decode(byte[] bytes, int length, int most) throws DroppedMessageException {
        if (length > most) {
            throw new DroppedMessageException(DropReason.TOO_LONG);
        }
        try (JsonParser in = factory.createParser(bytes, 0, length)) {
            expect(in.nextToken() == JsonToken.START_ARRAY);
            if (whole(in) != VERSION) {
                throw new DroppedMessageException(DropReason.VERSION);
            }
            if (!text(in).equals(installation)) {
                throw new DroppedMessageException(DropReason.INSTALLATION);
            }
            long kind = whole(in);
            expect(kind >= 0 && kind < GroupMessage.MessageKind.values().length);
            MembershipUpdate.Announcement from = told(in);
            expect(!from.name().isEmpty());
            long seq = whole(in);
            String about = text(in);
            long digest = whole(in);
            long of = whole(in);
            expect(of >= 0 && of <= MOST_GROUPS);
            var groups = new ArrayList<Long>();
            for (long i = 0; i < of; i++) {
                groups.add(whole(in));
            }
            long count = whole(in);
            expect(count >= 0 && count <= length / LEAST_NEWS);
            var news = new ArrayList<MembershipUpdate>();
            while (news.size() < count) {
                long form = whole(in);
                expect(form == TOLD || form == DOUBTS);
                if (form == TOLD) {
                    news.add(told(in));
                } else {
                    doubts(in, count - news.size(), news);
                }
            }
            expect(in.nextToken() == JsonToken.END_ARRAY && in.nextToken() == null);
            return new GroupMessage(GroupMessage.MessageKind.values()[(int) kind], from, seq,
                    about.isEmpty() ? null : about, digest,
                    groups,
                    news);
        } catch (IOException | RuntimeException e) {
            // the library's own complaints may be of either kind
            throw new DroppedMessageException(DropReason.MALFORMED);
        }
    }

    private static void doubts(JsonParser in, long most, List<MembershipUpdate> to)
            throws IOException, DroppedMessageException {
        String name = text(in);
        long incarnation = whole(in);
        long n = whole(in);
        expect(n > 0 && n <= most);
        for (long i = 0; i < n; i++) {
            to.add(new MembershipUpdate.Suspicion(name, incarnation, text(in), whole(in), flag(in)));
        }
    }

    private static MembershipUpdate.Announcement told(JsonParser in) throws IOException, DroppedMessageException {
        return new MembershipUpdate.Announcement(text(in), text(in), whole(in), whole(in), flag(in));
    }

    private static void expect(boolean so) throws DroppedMessageException {
        if (!so) {
            throw new DroppedMessageException(DropReason.MALFORMED);
        }
    }

    private static long whole(JsonParser in) throws IOException, DroppedMessageException {
        expect(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static String text(JsonParser in) throws IOException, DroppedMessageException {
        expect(in.nextToken() == JsonToken.VALUE_STRING && in.getTextLength() <= MOST_TEXT);
        return in.getText();
    }

    private static boolean flag(JsonParser in) throws IOException, DroppedMessageException {
        JsonToken token = in.nextToken();
        expect(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }
}

package wallmoor.peers.udp;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wallmoor.peers.Message;
import wallmoor.peers.News;

/**
 * A message as a datagram: a CBOR array of the form's version, the installation's name and the message's fields, in a
 * fixed order. What does not have exactly this form is told apart by why, and nothing of it is used.
 */
final class Wire {
    /** A datagram with its headers fits an Ethernet frame, tunnels included. */
    static final int MOST_BYTES = 1_200;
    /** Bytes of a table at most, which go by themselves: some 60 for each of ten thousand members, and doubts. */
    static final int MOST_TABLE = 2 * 1024 * 1024;
    private static final int VERSION = 2;
    private static final int MOST_TEXT = 128;
    private static final int MOST_GROUPS = 64;
    /** The least that a piece of news takes: more of them than that can't be there. */
    private static final int LEAST_NEWS = 6;
    private static final int TOLD = 0;
    private static final int DOUBTS = 1;

    private final CBORFactory factory = new CBORFactory();
    private final String installation;

    Wire(String installation) {
        this.installation = installation;
    }

    /** Why a datagram was dropped. */
    static final class Dropped extends Exception {
        private static final long serialVersionUID = 1;
        final transient Why why;

        Dropped(Why why) {
            super(why.toString(), null, false, false);
            this.why = why;
        }
    }

    /** Kinds of what is dropped, counted apart. */
    enum Why { MALFORMED, VERSION, INSTALLATION, TOO_LONG, UNSENT }

    /** The bytes of a message: of its news as much as fits a datagram, and all of a table. */
    byte[] write(Message m) throws IOException {
        for (int n = m.news().size();; n--) {
            byte[] bytes = write(m, m.news().subList(0, n));
            if (bytes.length <= MOST_BYTES || n == 0 || m.kind() == Message.Kind.TABLE) {
                return bytes;
            }
        }
    }

    private byte[] write(Message m, List<News> news) throws IOException {
        var to = new ByteArrayOutputStream(256);
        try (CBORGenerator out = factory.createGenerator(to)) {
            out.writeStartArray();
            out.writeNumber(VERSION);
            out.writeString(installation);
            out.writeNumber(m.kind().ordinal());
            told(out, m.from());
            out.writeNumber(m.seq());
            out.writeString(m.about() == null ? "" : m.about());
            out.writeNumber(m.digest());
            out.writeNumber(m.groups().size());
            for (long group : m.groups()) {
                out.writeNumber(group);
            }
            out.writeNumber(news.size());
            for (int i = 0; i < news.size(); i++) {
                if (news.get(i) instanceof News.Told t) {
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
    private static int doubts(CBORGenerator out, List<News> news) throws IOException {
        News first = news.get(0);
        int n = 1;
        while (n < news.size() && news.get(n) instanceof News.Doubt d && d.name().equals(first.name())
                && d.incarnation() == first.incarnation()) {
            n++;
        }
        out.writeNumber(DOUBTS);
        out.writeString(first.name());
        out.writeNumber(first.incarnation());
        out.writeNumber(n);
        for (News each : news.subList(0, n)) {
            News.Doubt d = (News.Doubt) each;
            out.writeString(d.by());
            out.writeNumber(d.seq());
            out.writeBoolean(d.on());
        }
        return n;
    }

    private static void told(CBORGenerator out, News.Told t) throws IOException {
        out.writeString(t.name());
        out.writeString(t.address());
        out.writeNumber(t.boot());
        out.writeNumber(t.incarnation());
        out.writeBoolean(t.left());
    }

    /** The message in a datagram, or in a table's connection with its own bound. */
    Message read(byte[] bytes, int length, int most) throws Dropped {
        if (length > most) {
            throw new Dropped(Why.TOO_LONG);
        }
        try (JsonParser in = factory.createParser(bytes, 0, length)) {
            expect(in.nextToken() == JsonToken.START_ARRAY);
            if (whole(in) != VERSION) {
                throw new Dropped(Why.VERSION);
            }
            if (!text(in).equals(installation)) {
                throw new Dropped(Why.INSTALLATION);
            }
            long kind = whole(in);
            expect(kind >= 0 && kind < Message.Kind.values().length);
            News.Told from = told(in);
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
            var news = new ArrayList<News>();
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
            return new Message(Message.Kind.values()[(int) kind], from, seq, about.isEmpty() ? null : about, digest,
                    groups,
                    news);
        } catch (IOException | RuntimeException e) {
            throw new Dropped(Why.MALFORMED); // the library's own complaints may be of either kind
        }
    }

    private static void doubts(JsonParser in, long most, List<News> to) throws IOException, Dropped {
        String name = text(in);
        long incarnation = whole(in);
        long n = whole(in);
        expect(n > 0 && n <= most);
        for (long i = 0; i < n; i++) {
            to.add(new News.Doubt(name, incarnation, text(in), whole(in), flag(in)));
        }
    }

    private static News.Told told(JsonParser in) throws IOException, Dropped {
        return new News.Told(text(in), text(in), whole(in), whole(in), flag(in));
    }

    private static void expect(boolean so) throws Dropped {
        if (!so) {
            throw new Dropped(Why.MALFORMED);
        }
    }

    private static long whole(JsonParser in) throws IOException, Dropped {
        expect(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static String text(JsonParser in) throws IOException, Dropped {
        expect(in.nextToken() == JsonToken.VALUE_STRING && in.getTextLength() <= MOST_TEXT);
        return in.getText();
    }

    private static boolean flag(JsonParser in) throws IOException, Dropped {
        JsonToken token = in.nextToken();
        expect(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE);
        return token == JsonToken.VALUE_TRUE;
    }
}

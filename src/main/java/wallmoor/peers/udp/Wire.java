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
    private static final int VERSION = 1;
    private static final int MOST_TEXT = 128;
    private static final int MOST_NEWS = 64;
    private static final int TOLD = 0;
    private static final int DOUBT = 1;

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

    /** The datagram of a message; of its news as much as fits. */
    byte[] write(Message m) throws IOException {
        for (int n = m.news().size();; n--) {
            byte[] bytes = write(m, m.news().subList(0, n));
            if (bytes.length <= MOST_BYTES || n == 0) {
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
            out.writeNumber(news.size());
            for (News n : news) {
                if (n instanceof News.Told t) {
                    out.writeNumber(TOLD);
                    told(out, t);
                } else if (n instanceof News.Doubt d) {
                    out.writeNumber(DOUBT);
                    out.writeString(d.name());
                    out.writeNumber(d.incarnation());
                    out.writeString(d.by());
                    out.writeNumber(d.seq());
                    out.writeBoolean(d.on());
                }
            }
            out.writeEndArray();
        }
        return to.toByteArray();
    }

    private static void told(CBORGenerator out, News.Told t) throws IOException {
        out.writeString(t.name());
        out.writeString(t.address());
        out.writeNumber(t.boot());
        out.writeNumber(t.incarnation());
        out.writeBoolean(t.left());
    }

    /** The message in a datagram. */
    Message read(byte[] bytes, int length) throws Dropped {
        if (length > MOST_BYTES) {
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
            long count = whole(in);
            expect(count >= 0 && count <= MOST_NEWS);
            var news = new ArrayList<News>();
            for (long i = 0; i < count; i++) {
                long form = whole(in);
                expect(form == TOLD || form == DOUBT);
                news.add(form == TOLD ? told(in) : new News.Doubt(text(in), whole(in), text(in), whole(in), flag(in)));
            }
            expect(in.nextToken() == JsonToken.END_ARRAY && in.nextToken() == null);
            return new Message(Message.Kind.values()[(int) kind], from, seq, about.isEmpty() ? null : about, digest, news);
        } catch (IOException | RuntimeException e) {
            throw new Dropped(Why.MALFORMED); // the library's own complaints may be of either kind
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

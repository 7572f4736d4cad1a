package wallmoor.versions;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Entries and documents as bytes: numbers of eight bytes, texts in UTF-8 with their length before them. */
public final class Forms {
    /** Of what follows: a program that is asked to read another form refuses it by its number. */
    public static final long FORM = 1;

    private Forms() {}

    /** An entry as the log carries it. */
    public static byte[] write(Entry entry) {
        var to = new Writer().number(FORM);
        if (entry instanceof Entry.Propose e) {
            Proposal p = e.proposal();
            to.number(1).text(p.name()).number(p.parentNumber()).text(p.parentHash()).text(p.author()).text(p.body())
                    .text(p.fallback());
        } else if (entry instanceof Entry.Verdict e) {
            to.number(2).text(e.member()).text(e.name()).number(e.number()).text(e.hash()).text(e.why());
        } else if (entry instanceof Entry.Close e) {
            to.number(3).number(e.epoch()).text(e.name()).number(e.number());
        } else if (entry instanceof Entry.Lead e) {
            to.number(4).text(e.member()).number(e.life());
        } else if (entry instanceof Entry.Act e) {
            to.number(5).number(e.epoch()).text(e.name()).number(e.number());
        }
        return to.bytes();
    }

    /** The entry that was written. */
    public static Entry read(byte[] bytes) throws DamagedException {
        var from = new Reader(bytes).form();
        long type = from.number();
        Entry entry;
        if (type == 1) {
            entry = new Entry.Propose(
                    new Proposal(from.text(), from.number(), from.text(), from.text(), from.text(), from.text()));
        } else if (type == 2) {
            entry = new Entry.Verdict(from.text(), from.text(), from.number(), from.text(), from.text());
        } else if (type == 3) {
            entry = new Entry.Close(from.number(), from.text(), from.number());
        } else if (type == 4) {
            entry = new Entry.Lead(from.text(), from.number());
        } else if (type == 5) {
            entry = new Entry.Act(from.number(), from.text(), from.number());
        } else {
            throw new DamagedException("an entry of unknown type " + type, Long.BYTES);
        }
        from.end();
        return entry;
    }

    /** Puts bytes together. */
    public static final class Writer {
        private byte[] to = new byte[256];
        private int size;

        /** Adds a number. */
        public Writer number(long n) {
            room(Long.BYTES).putLong(n);
            return this;
        }

        /** Adds a text. */
        public Writer text(String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            number(bytes.length);
            room(bytes.length).put(bytes);
            return this;
        }

        /** Adds a document. */
        public Writer document(Document d) {
            return text(d.name()).number(d.number()).number(d.parentNumber()).text(d.parentHash()).text(d.author())
                    .text(d.body()).text(d.fallback()).text(d.hash());
        }

        /** Adds bytes with their count. */
        public Writer raw(byte[] bytes) {
            number(bytes.length);
            room(bytes.length).put(bytes);
            return this;
        }

        private ByteBuffer room(int bytes) {
            if (to.length - size < bytes) {
                to = Arrays.copyOf(to, Math.max(2 * to.length, size + bytes));
            }
            ByteBuffer at = ByteBuffer.wrap(to, size, bytes);
            size += bytes;
            return at;
        }

        /** All of it. */
        public byte[] bytes() {
            return Arrays.copyOf(to, size);
        }
    }

    /** Takes bytes apart, and trusts none of them. */
    public static final class Reader {
        private final ByteBuffer from;

        /** Of bytes that came from anywhere. */
        public Reader(byte[] bytes) {
            from = ByteBuffer.wrap(bytes);
        }

        /** Takes the form's number, which must be this program's. */
        public Reader form() throws DamagedException {
            long form = number();
            if (form != FORM) {
                throw new DamagedException("form " + form + ", which this program does not read,", 0);
            }
            return this;
        }

        /** Takes a number. */
        public long number() throws DamagedException {
            if (from.remaining() < Long.BYTES) {
                throw new DamagedException("a number is cut short", from.position());
            }
            return from.getLong();
        }

        /** A count of things that take at least a byte each. */
        public long count() throws DamagedException {
            long n = number();
            if (n < 0 || n > from.remaining()) {
                throw new DamagedException("a count is out of bounds", from.position());
            }
            return n;
        }

        /** Takes a text. */
        public String text() throws DamagedException {
            int length = (int) count();
            CharBuffer text;
            try {
                text = StandardCharsets.UTF_8.newDecoder().decode(from.slice(from.position(), length));
            } catch (CharacterCodingException e) {
                throw new DamagedException("a text is not UTF-8", from.position());
            }
            from.position(from.position() + length);
            return text.toString();
        }

        /** Takes a document, which must be what its hash says. */
        public Document document() throws DamagedException {
            int at = from.position();
            var d = new Document(text(), number(), number(), text(), text(), text(), text(), text());
            if (!d.intact()) {
                throw new DamagedException("a document is not what its hash says", at);
            }
            return d;
        }

        /** Takes bytes that were added with their count. */
        public byte[] raw() throws DamagedException {
            byte[] bytes = new byte[(int) count()];
            from.get(bytes);
            return bytes;
        }

        /** There must be no more. */
        public void end() throws DamagedException {
            if (from.hasRemaining()) {
                throw new DamagedException("more than was written", from.position());
            }
        }
    }
}

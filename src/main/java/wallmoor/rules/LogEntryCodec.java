package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Entries and documents as bytes: numbers of eight bytes, texts in UTF-8 with their length before them. */
public final class LogEntryCodec {
    /** Of what follows: a program that is asked to read another form refuses it by its number. */
    public static final long FORMAT_VERSION = 1;

    private LogEntryCodec() {}

    /** An entry as the log carries it. */
    public static byte[] encode(LogEntry entry) {
        var to = new ByteWriter().writeLong(FORMAT_VERSION);
        if (entry instanceof LogEntry.ProposeVersion e) {
            RuleProposal p = e.proposal();
            to.writeLong(1).writeText(p.name()).writeLong(p.parentVersion()).writeText(p.parentHash())
                    .writeText(p.author()).writeText(p.body())
                    .writeText(p.fallback());
        } else if (entry instanceof LogEntry.VoterVerdict e) {
            to.writeLong(2).writeText(e.voter()).writeText(e.name()).writeLong(e.version()).writeText(e.hash())
                    .writeText(e.objection());
        } else if (entry instanceof LogEntry.CloseVerdicts e) {
            to.writeLong(3).writeLong(e.leaderEpoch()).writeText(e.name()).writeLong(e.version());
        } else if (entry instanceof LogEntry.LeaderElected e) {
            to.writeLong(4).writeText(e.voter()).writeLong(e.incarnation());
        } else if (entry instanceof LogEntry.ActivateVersion e) {
            to.writeLong(5).writeLong(e.leaderEpoch()).writeText(e.name()).writeLong(e.version());
        }
        return to.toByteArray();
    }

    /** The entry that was written. */
    public static LogEntry decode(byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes).readFormatVersion();
        long type = from.readLong();
        LogEntry entry;
        if (type == 1) {
            entry = new LogEntry.ProposeVersion(
                    new RuleProposal(from.readText(), from.readLong(), from.readText(), from.readText(),
                            from.readText(), from.readText()));
        } else if (type == 2) {
            entry = new LogEntry.VoterVerdict(from.readText(), from.readText(), from.readLong(), from.readText(),
                    from.readText());
        } else if (type == 3) {
            entry = new LogEntry.CloseVerdicts(from.readLong(), from.readText(), from.readLong());
        } else if (type == 4) {
            entry = new LogEntry.LeaderElected(from.readText(), from.readLong());
        } else if (type == 5) {
            entry = new LogEntry.ActivateVersion(from.readLong(), from.readText(), from.readLong());
        } else {
            throw new CorruptDataException("an entry of unknown type " + type, Long.BYTES);
        }
        from.expectEnd();
        return entry;
    }

    /** Puts bytes together. */
    public static final class ByteWriter {
        private byte[] to = new byte[256];
        private int size;

        /** Adds a number. */
        public ByteWriter writeLong(long n) {
            room(Long.BYTES).putLong(n);
            return this;
        }

        /** Adds a text. */
        public ByteWriter writeText(String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            writeLong(bytes.length);
            room(bytes.length).put(bytes);
            return this;
        }

        /** Adds a document. */
        public ByteWriter writeDocument(RuleDocument d) {
            return writeText(d.name()).writeLong(d.version()).writeLong(d.parentVersion()).writeText(d.parentHash())
                    .writeText(d.author())
                    .writeText(d.body()).writeText(d.fallback()).writeText(d.hash());
        }

        /** Adds bytes with their count. */
        public ByteWriter writeBytes(byte[] bytes) {
            writeLong(bytes.length);
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
        public byte[] toByteArray() {
            return Arrays.copyOf(to, size);
        }
    }

    /** Takes bytes apart, and trusts none of them. */
    public static final class ByteReader {
        private final ByteBuffer from;

        /** Of bytes that came from anywhere. */
        public ByteReader(byte[] bytes) {
            from = ByteBuffer.wrap(bytes);
        }

        /** Takes the form's number, which must be this program's. */
        public ByteReader readFormatVersion() throws CorruptDataException {
            long form = readLong();
            if (form != FORMAT_VERSION) {
                throw new CorruptDataException("form " + form + ", which this program does not read,", 0);
            }
            return this;
        }

        /** Takes a number. */
        public long readLong() throws CorruptDataException {
            if (from.remaining() < Long.BYTES) {
                throw new CorruptDataException("a number is cut short", from.position());
            }
            return from.getLong();
        }

        /** A count of things that take at least a byte each. */
        public long readCount() throws CorruptDataException {
            long n = readLong();
            if (n < 0 || n > from.remaining()) {
                throw new CorruptDataException("a count is out of bounds", from.position());
            }
            return n;
        }

        /** Takes a text. */
        public String readText() throws CorruptDataException {
            int length = (int) readCount();
            CharBuffer text;
            try {
                text = StandardCharsets.UTF_8.newDecoder().decode(from.slice(from.position(), length));
            } catch (CharacterCodingException e) {
                throw new CorruptDataException("a text is not UTF-8", from.position());
            }
            from.position(from.position() + length);
            return text.toString();
        }

        /** Takes a document, which must be what its hash says. */
        public RuleDocument readDocument() throws CorruptDataException {
            int at = from.position();
            var d = new RuleDocument(readText(), readLong(), readLong(), readText(), readText(), readText(), readText(),
                    readText());
            if (!d.hasValidHash()) {
                throw new CorruptDataException("a document is not what its hash says", at);
            }
            return d;
        }

        /** Takes bytes that were added with their count. */
        public byte[] readBytes() throws CorruptDataException {
            byte[] bytes = new byte[(int) readCount()];
            from.get(bytes);
            return bytes;
        }

        /** There must be no more. */
        public void expectEnd() throws CorruptDataException {
            if (from.hasRemaining()) {
                throw new CorruptDataException("more than was written", from.position());
            }
        }
    }
}

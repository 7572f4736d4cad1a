package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link ByteWriter} wrote. The bytes may come from any peer or damaged file: each length is checked against
 * what is left before anything is allocated, and every fault is a {@link CorruptDataException} with its position.
 */
public final class ByteReader {
    private final ByteBuffer buffer;

    /** Reads from the first byte on; the array must not change meanwhile. */
    public ByteReader(byte[] bytes) {
        buffer = ByteBuffer.wrap(bytes);
    }

    /** Reads the format version, which must be {@link LogEntryCodec#FORMAT_VERSION}. */
    public ByteReader readFormatVersion() throws CorruptDataException {
        long version = readLong();
        if (version != LogEntryCodec.FORMAT_VERSION) {
            throw new CorruptDataException("form " + version + ", which this program does not read,", 0);
        }
        return this;
    }

    /** Reads an integer. */
    public long readLong() throws CorruptDataException {
        if (buffer.remaining() < Long.BYTES) {
            throw new CorruptDataException("a number is cut short", buffer.position());
        }
        return buffer.getLong();
    }

    /** Reads a count of items of at least a byte each, so never more than there are bytes left. */
    public long readCount() throws CorruptDataException {
        long count = readLong();
        if (count < 0 || count > buffer.remaining()) {
            throw new CorruptDataException("a count is out of bounds", buffer.position());
        }
        return count;
    }

    /** Reads a text, which must be valid UTF-8. */
    public String readText() throws CorruptDataException {
        int length = (int) readCount();
        CharBuffer text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(buffer.slice(buffer.position(), length));
        } catch (CharacterCodingException e) {
            throw new CorruptDataException("a text is not UTF-8", buffer.position());
        }
        buffer.position(buffer.position() + length);
        return text.toString();
    }

    /** Reads a document, whose hash must match its contents. */
    public RuleDocument readDocument() throws CorruptDataException {
        int start = buffer.position();
        var document = new RuleDocument(readText(), readLong(), readLong(), readText(), readText(), readText(),
                readText(), readText());
        if (!document.hasValidHash()) {
            throw new CorruptDataException("a document is not what its hash says", start);
        }
        return document;
    }

    /** Reads bytes that were written with their count. */
    public byte[] readBytes() throws CorruptDataException {
        byte[] bytes = new byte[(int) readCount()];
        buffer.get(bytes);
        return bytes;
    }

    /** Checks that nothing is left. */
    public void expectEnd() throws CorruptDataException {
        if (buffer.hasRemaining()) {
            throw new CorruptDataException("more than was written", buffer.position());
        }
    }
}

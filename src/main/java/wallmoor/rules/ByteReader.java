package wallmoor.rules;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads bytes that {@link ByteWriter} wrote. The bytes may come from an untrusted peer or a damaged file: each length
 * is checked against the remaining bytes before memory is allocated, and each error is a {@link CorruptDataException}
 * with the byte offset.
 */
public final class ByteReader {
    private final ByteBuffer buffer;

    /** Creates a reader that starts at the first byte. The array is not copied and must not change. */
    public ByteReader(byte[] bytes) {
        buffer = ByteBuffer.wrap(bytes);
    }

    /** Reads the format version, which must be {@link LogEntryCodec#FORMAT_VERSION}. */
    public ByteReader readFormatVersion() throws CorruptDataException {
        long version = readLong();
        if (version != LogEntryCodec.FORMAT_VERSION) {
            throw new CorruptDataException("unsupported format version " + version + " (supported: "
                    + LogEntryCodec.FORMAT_VERSION + ")", 0);
        }
        return this;
    }

    /** Reads an integer of eight bytes, big-endian. */
    public long readLong() throws CorruptDataException {
        if (buffer.remaining() < Long.BYTES) {
            throw new CorruptDataException(
                    "truncated integer: " + buffer.remaining() + " of " + Long.BYTES + " bytes", buffer.position());
        }
        return buffer.getLong();
    }

    /** Reads a number of items. As an item takes at least one byte, it may not exceed the remaining bytes. */
    public long readCount() throws CorruptDataException {
        long count = readLong();
        if (count < 0 || count > buffer.remaining()) {
            throw new CorruptDataException(
                    "count " + count + " is not from 0 to the " + buffer.remaining() + " remaining bytes",
                    buffer.position());
        }
        return count;
    }

    /** Reads a text after its length in bytes; it must be valid UTF-8. */
    public String readText() throws CorruptDataException {
        int length = (int) readCount();
        CharBuffer text;
        try {
            text = StandardCharsets.UTF_8.newDecoder().decode(buffer.slice(buffer.position(), length));
        } catch (CharacterCodingException e) {
            throw new CorruptDataException("a text of " + length + " bytes is not valid UTF-8", buffer.position());
        }
        buffer.position(buffer.position() + length);
        return text.toString();
    }

    /** Reads a document; its hash must match its contents. */
    public RuleDocument readDocument() throws CorruptDataException {
        int start = buffer.position();
        var document = new RuleDocument(readText(), readLong(), readLong(), readText(), readText(), readText(),
                readText(), readText());
        if (!document.hasValidHash()) {
            throw new CorruptDataException("the hash of a document does not match its contents", start);
        }
        return document;
    }

    /** Reads a byte array after its length. */
    public byte[] readBytes() throws CorruptDataException {
        byte[] bytes = new byte[(int) readCount()];
        buffer.get(bytes);
        return bytes;
    }

    /** Checks that all bytes have been read. */
    public void expectEnd() throws CorruptDataException {
        if (buffer.hasRemaining()) {
            throw new CorruptDataException(buffer.remaining() + " unexpected bytes after the end of the data",
                    buffer.position());
        }
    }
}

package wallmoor.frames;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;

/** A socket at which a test can block threads: before and after its connect and each write, and after each read. */
final class GatedSocket extends Socket {
    final Gate beforeConnect = new Gate();
    final Gate afterConnect = new Gate();
    final Gate beforeWrite = new Gate();
    final Gate afterWrite = new Gate();
    final Gate afterRead = new Gate();
    /** The number of bytes after which a write fails; -1 if writes do not fail. */
    volatile int maxWrittenBytes = -1;

    @Override
    public void connect(SocketAddress to, int millis) throws IOException {
        beforeConnect.pass();
        super.connect(to, millis);
        afterConnect.pass();
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new FilterOutputStream(super.getOutputStream()) {
            @Override
            public void write(byte[] bytes) throws IOException {
                beforeWrite.pass();
                int maxBytes = maxWrittenBytes;
                out.write(bytes, 0, maxBytes < 0 ? bytes.length : Math.min(maxBytes, bytes.length));
                afterWrite.pass();
                if (maxBytes >= 0) {
                    throw new IOException("write failed by the test");
                }
            }
        };
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(super.getInputStream()) {
            @Override
            public int read(byte[] to, int from, int length) throws IOException {
                int count = super.read(to, from, length);
                afterRead.pass();
                return count;
            }
        };
    }
}

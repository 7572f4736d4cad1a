package wallmoor.frames;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;

/** A socket whose threads a test can hold: before and after its connect, before and after each write and each read. */
final class GatedSocket extends Socket {
    final Gate beforeConnect = new Gate();
    final Gate afterConnect = new Gate();
    final Gate beforeWrite = new Gate();
    final Gate afterWrite = new Gate();
    final Gate afterRead = new Gate();
    /** Of the next write only so many bytes go out, then it fails; -1: all. */
    volatile int mostWritten = -1;

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
                int most = mostWritten;
                out.write(bytes, 0, most < 0 ? bytes.length : Math.min(most, bytes.length));
                afterWrite.pass();
                if (most >= 0) {
                    throw new IOException("broken by the test");
                }
            }
        };
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(super.getInputStream()) {
            @Override
            public int read(byte[] to, int from, int most) throws IOException {
                int n = super.read(to, from, most);
                afterRead.pass();
                return n;
            }
        };
    }
}

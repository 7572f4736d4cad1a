package wallmoor.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A process that runs two ways without consensus at once. Gossip: the last version written anywhere wins and is sent to
 * all others every 100 ms. Files: each process reads its own file every {@link #READ_MILLIS}, and the first process
 * copies a new file to all others at once and again at the same interval. Both versions are stored and survive a
 * restart.
 *
 * <p>Arguments: number, port, control port, directory, ports of the others.
 */
final class StormMember {
    /**
     * The interval at which the file is read: twice the term of {@link RulesStorm}, as {@code ContradictionBenchmark}
     * has 10 s for a term of 5 s.
     */
    static final int READ_MILLIS = 4_000;
    private static final int GOSSIP_MILLIS = 100;

    private final Path directory;
    private final AtomicLong newest = new AtomicLong();
    private final AtomicLong file = new AtomicLong();
    private volatile long activeVersion;

    private StormMember(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        newest.set(readStored("newest"));
        file.set(readStored("file"));
        activeVersion = file.get();
    }

    /** Runs until the process is killed. */
    public static void main(String[] args) throws Exception {
        var member = new StormMember(Path.of(args[3]));
        member.serve(Integer.parseInt(args[1]));
        member.serve(Integer.parseInt(args[2]));
        for (int i = 4; i < args.length; i++) {
            int port = Integer.parseInt(args[i]);
            new Thread(() -> member.sendUpdates(port, args[0].equals("0")), "tell-" + port).start();
        }
        while (true) {
            Thread.sleep(READ_MILLIS);
            member.activeVersion = member.readStored("file");
        }
    }

    private long readStored(String name) throws IOException {
        Path path = directory.resolve(name);
        return Files.exists(path) ? Long.parseLong(Files.readString(path)) : 0;
    }

    private synchronized void storeIfNewer(AtomicLong version, String name, long value) throws IOException {
        if (value > version.get()) {
            Path temporary = Files.writeString(directory.resolve(name + ".new"), "" + value);
            Files.move(temporary, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            version.set(value);
        }
    }

    private void serve(int port) throws IOException {
        var server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        new Thread(() -> {
            while (true) {
                try {
                    Socket peer = server.accept();
                    new Thread(() -> handleConnection(peer), "hear").start();
                } catch (IOException e) {
                    return;
                }
            }
        }, "serve-" + port).start();
    }

    /** Handles the lines of a connection: {@code newest N}, {@code file N} or {@code show}. */
    private void handleConnection(Socket peer) {
        try (peer; var lines = new BufferedReader(
                new InputStreamReader(peer.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                String[] words = line.split(" ");
                if (words[0].equals("show")) {
                    peer.getOutputStream()
                            .write((System.nanoTime() / 1_000 + " " + newest + " " + activeVersion + "\n").getBytes());
                } else if (words[0].equals("newest")) {
                    storeIfNewer(newest, "newest", Long.parseLong(words[1]));
                } else {
                    storeIfNewer(file, "file", Long.parseLong(words[1]));
                }
            }
        } catch (IOException e) {
            // the peer reconnects
        }
    }

    private void sendUpdates(int port, boolean copiesFile) {
        while (true) {
            try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                long copiedVersion = 0;
                long copiedAtNanos = 0;
                while (true) {
                    var line = new StringBuilder("newest ").append(newest).append('\n');
                    long nowNanos = System.nanoTime();
                    if (copiesFile && (file.get() > copiedVersion || nowNanos - copiedAtNanos > READ_MILLIS
                            * 1_000_000L)) {
                        copiedVersion = file.get();
                        copiedAtNanos = nowNanos;
                        line.append("file ").append(copiedVersion).append('\n');
                    }
                    socket.getOutputStream().write(line.toString().getBytes(StandardCharsets.US_ASCII));
                    Thread.sleep(GOSSIP_MILLIS);
                }
            } catch (IOException e) {
                try {
                    Thread.sleep(GOSSIP_MILLIS);
                } catch (InterruptedException interrupted) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}

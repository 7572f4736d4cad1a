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
 * A process of the two ways without agreement, both at once: the last that was written anywhere wins and is told to all
 * others every 100 ms; and a file of its own, read every {@link #READ_MILLIS}, that the first one copies to all others,
 * at once and as often again. What it holds is kept over a restart. Arguments: number, port, control port, directory,
 * ports of the others.
 */
final class StormMember {
    /** Twice the term that the storm has: 10 s beside 5 s, as {@code Contradictions} has it. */
    static final int READ_MILLIS = 4_000;
    private static final int GOSSIP_MILLIS = 100;

    private final Path directory;
    private final AtomicLong newest = new AtomicLong();
    private final AtomicLong file = new AtomicLong();
    private volatile long acts;

    private StormMember(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
        newest.set(kept("newest"));
        file.set(kept("file"));
        acts = file.get();
    }

    /** Runs until it is killed. */
    public static void main(String[] args) throws Exception {
        var member = new StormMember(Path.of(args[3]));
        member.serve(Integer.parseInt(args[1]));
        member.serve(Integer.parseInt(args[2]));
        for (int i = 4; i < args.length; i++) {
            int port = Integer.parseInt(args[i]);
            new Thread(() -> member.tell(port, args[0].equals("0")), "tell-" + port).start();
        }
        while (true) {
            Thread.sleep(READ_MILLIS);
            member.acts = member.kept("file");
        }
    }

    private long kept(String name) throws IOException {
        Path at = directory.resolve(name);
        return Files.exists(at) ? Long.parseLong(Files.readString(at)) : 0;
    }

    private synchronized void raise(AtomicLong what, String name, long to) throws IOException {
        if (to > what.get()) {
            Path beside = Files.writeString(directory.resolve(name + ".new"), "" + to);
            Files.move(beside, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            what.set(to);
        }
    }

    private void serve(int port) throws IOException {
        var server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        new Thread(() -> {
            while (true) {
                try {
                    Socket peer = server.accept();
                    new Thread(() -> hear(peer), "hear").start();
                } catch (IOException e) {
                    return;
                }
            }
        }, "serve-" + port).start();
    }

    /** A line each: {@code newest N}, {@code file N}, or {@code show}. */
    private void hear(Socket peer) {
        try (peer; var lines = new BufferedReader(
                new InputStreamReader(peer.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                String[] words = line.split(" ");
                if (words[0].equals("show")) {
                    peer.getOutputStream()
                            .write((System.nanoTime() / 1_000 + " " + newest + " " + acts + "\n").getBytes());
                } else if (words[0].equals("newest")) {
                    raise(newest, "newest", Long.parseLong(words[1]));
                } else {
                    raise(file, "file", Long.parseLong(words[1]));
                }
            }
        } catch (IOException e) {
            // it comes again
        }
    }

    private void tell(int port, boolean copies) {
        while (true) {
            try (var to = new Socket(InetAddress.getLoopbackAddress(), port)) {
                long copied = 0;
                long copiedAt = 0;
                while (true) {
                    var line = new StringBuilder("newest ").append(newest).append('\n');
                    long now = System.nanoTime();
                    if (copies && (file.get() > copied || now - copiedAt > READ_MILLIS * 1_000_000L)) {
                        copied = file.get();
                        copiedAt = now;
                        line.append("file ").append(copied).append('\n');
                    }
                    to.getOutputStream().write(line.toString().getBytes(StandardCharsets.US_ASCII));
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

package wallmoor.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import wallmoor.simulation.InvariantChecker;
import wallmoor.standin.Ports;
import wallmoor.standin.TcpRelay;

/**
 * The processes of {@link StormMember}, a relay between them, and for each a watcher; judged as {@link RulesGroup} is.
 */
final class StormBaseline implements AutoCloseable {
    private static final int LOOK_MILLIS = 20;
    /** So long what was seen counts as going on: who stands still or is dead is not seen, and does not act. */
    private static final long COUNTS_MICROS = 200_000;

    private final class Member {
        final int number;
        final int port;
        final int control;
        Process process;

        Member(int number, int port) throws IOException {
            this.number = number;
            this.port = port;
            control = Ports.free();
        }
    }

    final TcpRelay relay;
    private final Path folder;
    private final List<Member> all = new ArrayList<>();
    private final InvariantChecker gossip = new InvariantChecker();
    private final InvariantChecker files = new InvariantChecker();
    private volatile boolean ended;

    StormBaseline(Path folder, int count) throws IOException {
        this.folder = folder;
        var ports = new ArrayList<Integer>();
        while (ports.size() < count) {
            ports.add(Ports.free());
        }
        relay = new TcpRelay(ports);
        for (int i = 0; i < count; i++) {
            var member = new Member(i, ports.get(i));
            all.add(member);
            start(i);
            var watching = new Thread(() -> watch(member), "watch-b" + i);
            watching.setDaemon(true);
            watching.start();
        }
    }

    void start(int who) throws IOException {
        Member member = all.get(who);
        var command = new ArrayList<>(List.of(Program.command().get(0), "-Xmx32m", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp", System.getProperty("java.class.path"), "wallmoor.net.StormMember", "" + who, "" + member.port,
                "" + member.control, "" + folder.resolve("baseline" + who)));
        all.stream().filter(m -> m != member).forEach(m -> command.add("" + relay.port(who, m.number)));
        for (int later = all.size(); later < RulesStorm.FIVE; later++) {
            command.add("" + relay.port(who, later));
        }
        member.process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    void kill(int who) {
        all.get(who).process.destroyForcibly().onExit().join();
    }

    void signal(int who, String name) throws Exception {
        Program.signal(all.get(who).process, name);
    }

    /** Writes at one of them, and puts the same where files are copied from; who is not there misses it. */
    void write(int who, long number) {
        say(who, "newest " + number);
        say(0, "file " + number);
    }

    private void say(int who, String line) {
        try (var to = new Socket("127.0.0.1", all.get(who).control)) {
            to.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // it is dead
        }
    }

    private void watch(Member member) {
        while (!ended) {
            try (var asker = new Socket("127.0.0.1", member.control);
                    var lines = new BufferedReader(
                            new InputStreamReader(asker.getInputStream(), StandardCharsets.US_ASCII))) {
                while (!ended) {
                    asker.getOutputStream().write("show\n".getBytes(StandardCharsets.US_ASCII));
                    String line = lines.readLine();
                    if (line == null) {
                        break;
                    }
                    String[] words = line.split(" ");
                    seen(member.number, Long.parseLong(words[0]), Long.parseLong(words[1]), Long.parseLong(words[2]));
                    Thread.sleep(LOOK_MILLIS);
                }
            } catch (IOException e) {
                // it is dead, or was killed
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(LOOK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void seen(int who, long now, long newest, long file) {
        gossip.startedActing(who, now, newest, newest, now + COUNTS_MICROS);
        files.startedActing(who, now, file, file, now + COUNTS_MICROS);
    }

    /** The longest that one went by an older one than another, microseconds: of the gossip, of the files. */
    synchronized long[] worst() {
        long now = System.nanoTime() / 1_000;
        gossip.end(now);
        files.end(now);
        return new long[] {gossip.longestContradiction(), files.longestContradiction()};
    }

    @Override
    public void close() throws IOException {
        ended = true;
        for (int i = 0; i < all.size(); i++) {
            kill(i);
        }
        relay.close();
    }
}

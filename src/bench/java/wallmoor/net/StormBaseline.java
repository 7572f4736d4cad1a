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
 * Runs the processes of {@link StormMember} with a relay between them and a watcher thread for each; contradictions are
 * measured as in {@link RulesGroup}.
 */
final class StormBaseline implements AutoCloseable {
    private static final int POLL_MILLIS = 20;
    /** How long an observation stays valid. A paused or dead process gives no observations and does not act. */
    private static final long OBSERVATION_VALID_MICROS = 200_000;

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
    private final List<Member> members = new ArrayList<>();
    private final InvariantChecker gossip = new InvariantChecker();
    private final InvariantChecker files = new InvariantChecker();
    private volatile boolean isClosed;

    StormBaseline(Path folder, int count) throws IOException {
        this.folder = folder;
        var ports = new ArrayList<Integer>();
        while (ports.size() < count) {
            ports.add(Ports.free());
        }
        relay = new TcpRelay(ports);
        for (int i = 0; i < count; i++) {
            var member = new Member(i, ports.get(i));
            members.add(member);
            start(i);
            var watching = new Thread(() -> watch(member), "watch-b" + i);
            watching.setDaemon(true);
            watching.start();
        }
    }

    void start(int index) throws IOException {
        Member member = members.get(index);
        var command = new ArrayList<>(List.of(Program.command().get(0), "-Xmx32m", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp", System.getProperty("java.class.path"), "wallmoor.net.StormMember", "" + index, "" + member.port,
                "" + member.control, "" + folder.resolve("baseline" + index)));
        members.stream().filter(m -> m != member).forEach(m -> command.add("" + relay.port(index, m.number)));
        for (int later = members.size(); later < RulesStorm.GATHERERS; later++) {
            command.add("" + relay.port(index, later));
        }
        member.process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    void kill(int index) {
        members.get(index).process.destroyForcibly().onExit().join();
    }

    void signal(int index, String name) throws Exception {
        Program.signal(members.get(index).process, name);
    }

    /**
     * Writes the next version at one member and at the member that the files are copied from. A member that is not
     * running misses it.
     */
    void write(int index, long number) {
        sendLine(index, "newest " + number);
        sendLine(0, "file " + number);
    }

    private void sendLine(int index, String line) {
        try (var connection = new Socket("127.0.0.1", members.get(index).control)) {
            connection.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // the member is not running
        }
    }

    private void watch(Member member) {
        while (!isClosed) {
            try (var connection = new Socket("127.0.0.1", member.control);
                    var lines = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))) {
                while (!isClosed) {
                    connection.getOutputStream().write("show\n".getBytes(StandardCharsets.US_ASCII));
                    String line = lines.readLine();
                    if (line == null) {
                        break;
                    }
                    String[] fields = line.split(" ");
                    recordObservation(member.number, Long.parseLong(fields[0]), Long.parseLong(fields[1]),
                            Long.parseLong(fields[2]));
                    Thread.sleep(POLL_MILLIS);
                }
            } catch (IOException e) {
                // the member is not running
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void recordObservation(int index, long nowMicros, long newestVersion, long fileVersion) {
        gossip.startedActing(index, nowMicros, newestVersion, newestVersion, nowMicros + OBSERVATION_VALID_MICROS);
        files.startedActing(index, nowMicros, fileVersion, fileVersion, nowMicros + OBSERVATION_VALID_MICROS);
    }

    /**
     * Returns the longest time in microseconds that one member acted on an older version than another: for gossip, then
     * for files.
     */
    synchronized long[] longestContradictions() {
        long nowMicros = System.nanoTime() / 1_000;
        gossip.end(nowMicros);
        files.end(nowMicros);
        return new long[] {gossip.longestContradiction(), files.longestContradiction()};
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        for (int i = 0; i < members.size(); i++) {
            kill(i);
        }
        relay.close();
    }
}

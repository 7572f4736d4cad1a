package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import wallmoor.standin.Ports;

/**
 * Holds the clients' listening socket as the platform does: each process that it starts inherits it as descriptor 0.
 * Java cannot pass a socket to a child process, so a Perl script holds the socket and forks. When the test ends for
 * any reason, the input of the script ends, and the script kills the processes that still run.
 */
final class HeldSocket implements AutoCloseable {
    private static final String HOLDER_SCRIPT = """
            use Socket; use POSIX ':sys_wait_h';
            my $s;
            socket($s, PF_INET, SOCK_STREAM, 0) && setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1)
                && bind($s, sockaddr_in(0, INADDR_LOOPBACK)) && listen($s, 256) or die $!;
            $| = 1;
            print 'port ', (sockaddr_in(getsockname $s))[0], "\\n";
            $SIG{CHLD} = sub { while ((my $p = waitpid(-1, WNOHANG)) > 0) { print "ended $p $?\\n" } };
            my @started;
            while (<STDIN>) {
                chomp;
                my ($log, @command) = split /\\t/;
                my $p = fork;
                if (!$p) {
                    open STDOUT, '>', $log;
                    open STDERR, '>&', STDOUT;
                    POSIX::dup2(fileno $s, 0);
                    exec @command;
                    die $!;
                }
                push @started, $p;
                print "started $p\\n";
            }
            kill KILL => grep { waitpid($_, WNOHANG) == 0 } @started;
            """;

    final int port;
    private final Process holder;
    private int startCount;
    private final Writer commands;
    private final LinkedBlockingQueue<Integer> started = new LinkedBlockingQueue<>();
    private final Map<Integer, CompletableFuture<Integer>> ends = new ConcurrentHashMap<>();

    HeldSocket() throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER_SCRIPT).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        commands = holder.outputWriter();
        var events = new BufferedReader(new InputStreamReader(holder.getInputStream(), UTF_8));
        port = Integer.parseInt(String.valueOf(events.readLine()).replace("port ", ""));
        var reader = new Thread(() -> events.lines().map(l -> l.split(" ")).forEach(words -> {
            if (words[0].equals("started")) {
                started.add(Integer.parseInt(words[1]));
            } else {
                end(Integer.parseInt(words[1])).complete(Integer.parseInt(words[2]));
            }
        }));
        reader.setDaemon(true);
        reader.start();
    }

    private CompletableFuture<Integer> end(int pid) {
        return ends.computeIfAbsent(pid, p -> new CompletableFuture<>());
    }

    /**
     * Starts the program on the socket with its own operator port, and does not wait until it is ready.
     *
     * @param temporary the value of TMPDIR for the process
     * @param config    the configuration, as from {@link Program#config}
     */
    synchronized Run start(Path temporary, String config) throws Exception {
        int admin = Ports.free();
        Path file = Files.createTempFile("wallmoor", ".json");
        Path log = Files.createTempFile("wallmoor", ".log");
        file.toFile().deleteOnExit();
        log.toFile().deleteOnExit();
        var arguments = new ArrayList<>(List.of(log.toString(), "env", "ROUTER_INHERITED_FD=0", "TMPDIR=" + temporary,
                "ROUTER_CONFIG=" + file));
        if (startCount++ % 2 == 0) { // alternates between the two ways to set the operator address: file, environment
            Files.writeString(file, Program.withAdmin(config, admin));
        } else {
            Files.writeString(file, config);
            arguments.add("ROUTER_ADMIN_ADDR=127.0.0.1:" + admin);
        }
        arguments.addAll(Program.command());
        commands.write(String.join("\t", arguments) + "\n");
        commands.flush();
        Integer pid = started.poll(10, TimeUnit.SECONDS);
        if (pid == null) {
            throw new IllegalStateException("the holder of the socket started no process within 10 s");
        }
        return new Run(pid, file, log, new Admin(admin), end(pid));
    }

    @Override
    public void close() throws IOException {
        commands.close();
        holder.onExit().join();
    }

    /**
     * A process on the socket.
     *
     * @param end completed with the wait status of the process when it ends
     */
    record Run(int pid, Path file, Path log, Admin admin, CompletableFuture<Integer> end) {
        /** Sends a signal, named without SIG, unless the process has ended. */
        void signal(String name) throws Exception {
            if (!end.isDone()) {
                new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
            }
        }

        /** Replaces the configuration of the process and sends SIGHUP. */
        void reload(String config) throws Exception {
            Files.writeString(file, config.isEmpty() ? config : Program.withAdmin(config, admin.port()));
            signal("HUP");
        }

        boolean isRunning() {
            return !end.isDone();
        }

        /** Waits until the readiness check succeeds, and returns the duration in milliseconds. */
        long awaitReady() throws Exception {
            long startedNanos = System.nanoTime();
            try {
                Program.await("the process is ready", () -> end.isDone() || admin.ready());
            } catch (AssertionError e) {
                throw new AssertionError(e.getMessage() + "; its log: " + logText(), e);
            }
            if (end.isDone()) {
                throw new AssertionError("process " + pid + " ended with wait status " + end.join() + ": " + logText());
            }
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        }

        /** Returns all that the process has written to its output and error streams. */
        String logText() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}

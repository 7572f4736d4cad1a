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
 * Java can hand no socket to a child, so a few lines of Perl hold it and fork. When the test ends, in whatever way,
 * their input ends, and they end what they have started and is still there.
 */
final class HeldSocket implements AutoCloseable {
    private static final String HOLDER = """
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
    private int count;
    private final Writer orders;
    private final LinkedBlockingQueue<Integer> started = new LinkedBlockingQueue<>();
    private final Map<Integer, CompletableFuture<Integer>> ends = new ConcurrentHashMap<>();

    HeldSocket() throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        orders = holder.outputWriter();
        var told = new BufferedReader(new InputStreamReader(holder.getInputStream(), UTF_8));
        port = Integer.parseInt(String.valueOf(told.readLine()).replace("port ", ""));
        var reader = new Thread(() -> told.lines().map(l -> l.split(" ")).forEach(w -> {
            if (w[0].equals("started")) {
                started.add(Integer.parseInt(w[1]));
            } else {
                end(Integer.parseInt(w[1])).complete(Integer.parseInt(w[2]));
            }
        }));
        reader.setDaemon(true);
        reader.start();
    }

    private CompletableFuture<Integer> end(int pid) {
        return ends.computeIfAbsent(pid, p -> new CompletableFuture<>());
    }

    /**
     * Starts the program on the socket with an operators' address of its own, and does not wait for it.
     *
     * @param temporary the directory that $TMPDIR names
     * @param config    as {@link Program#config} makes it
     */
    synchronized Run start(Path temporary, String config) throws Exception {
        int admin = Ports.free();
        Path file = Files.createTempFile("wallmoor", ".json");
        Path log = Files.createTempFile("wallmoor", ".log");
        file.toFile().deleteOnExit();
        log.toFile().deleteOnExit();
        var words = new ArrayList<>(List.of(log.toString(), "env", "ROUTER_INHERITED_FD=0", "TMPDIR=" + temporary,
                "ROUTER_CONFIG=" + file));
        if (count++ % 2 == 0) { // the first one's address stands in the file, the next one's in the environment
            Files.writeString(file, Program.withAdmin(config, admin));
        } else {
            Files.writeString(file, config);
            words.add("ROUTER_ADMIN_ADDR=127.0.0.1:" + admin);
        }
        words.addAll(Program.command());
        orders.write(String.join("\t", words) + "\n");
        orders.flush();
        Integer pid = started.poll(10, TimeUnit.SECONDS);
        if (pid == null) {
            throw new IllegalStateException("the holder of the socket starts nothing");
        }
        return new Run(pid, file, log, new Admin(admin), end(pid));
    }

    @Override
    public void close() throws IOException {
        orders.close();
        holder.onExit().join();
    }

    /** A process on the socket. {@code end} is its wait status once it has ended. */
    record Run(int pid, Path file, Path log, Admin admin, CompletableFuture<Integer> end) {
        /** Sends a signal, by its name without SIG, unless it has ended. */
        void signal(String name) throws Exception {
            if (!end.isDone()) {
                new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
            }
        }

        /** Puts another configuration in the place of its own, and says so by SIGHUP. */
        void reload(String config) throws Exception {
            Files.writeString(file, config.isEmpty() ? config : Program.withAdmin(config, admin.port()));
            signal("HUP");
        }

        boolean isRunning() {
            return !end.isDone();
        }

        /** Waits for its yes on the operators' address; how long that took, in milliseconds. */
        long awaitReady() throws Exception {
            long begun = System.nanoTime();
            try {
                Program.await("a yes", () -> end.isDone() || admin.ready());
            } catch (AssertionError e) {
                throw new AssertionError(e.getMessage() + "; its log: " + logText(), e);
            }
            if (end.isDone()) {
                throw new AssertionError("ended with " + end.join() + ": " + logText());
            }
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        }

        String logText() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}

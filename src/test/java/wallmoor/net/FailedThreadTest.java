package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.ObjectReference;
import com.sun.jdi.ThreadReference;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.AttachingConnector;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * The program overcomes the failure of a thread that serving needs, or ends. A debugger throws the error, in the thread
 * that closes connections: the heap may be exhausted in any of them.
 */
public class FailedThreadTest {
    private static final int EXIT_THREAD_FAILED = 4;
    /** Closes connections at their timeouts. */
    private static final String WATCH_THREAD = "api-watch";

    private final List<String> log = new CopyOnWriteArrayList<>();
    private int port;
    private int debugPort;
    private Process process;
    private VirtualMachine debugged;

    @Before
    public void start() throws Exception {
        port = Ports.free();
        debugPort = Ports.free();
        Path config = Files.writeString(Files.createTempFile("wallmoor", ".json"),
                Program.config("t", Program.SEED, port, Ports.free(), "", 1024));
        config.toFile().deleteOnExit();
        var command = new ArrayList<>(Program.command());
        command.add(1, "-agentlib:jdwp=transport=dt_socket,server=y,suspend=n,quiet=y,address=127.0.0.1:" + debugPort);
        var builder = new ProcessBuilder(command);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        process = builder.start();
        Program.read(process, log);
        Program.awaitReady(port);
        debugged = attach();
    }

    @After
    public void end() {
        process.destroyForcibly().onExit().join();
    }

    private VirtualMachine attach() throws Exception {
        AttachingConnector connector = Bootstrap.virtualMachineManager().attachingConnectors().stream()
                .filter(c -> c.transport().name().equals("dt_socket")).findFirst().orElseThrow();
        var arguments = connector.defaultArguments();
        arguments.get("hostname").setValue("127.0.0.1");
        arguments.get("port").setValue(Integer.toString(debugPort));
        return connector.attach(arguments);
    }

    /** Throws an error of the exhausted heap, which the virtual machine holds ready, in a thread of the program. */
    private void exhaustHeapIn(String threadName) throws Exception {
        ThreadReference thread = debugged.allThreads().stream().filter(t -> t.name().equals(threadName)).findFirst()
                .orElseThrow(() -> new AssertionError("no thread " + threadName));
        ObjectReference error = debugged.classesByName("java.lang.OutOfMemoryError").get(0).instances(1).get(0);
        thread.stop(error);
    }

    private long restarts() {
        return log.stream().filter(line -> line.contains("thread failed and is started again: thread=" + WATCH_THREAD))
                .count();
    }

    /** Guards against a gatherer that no longer closes connections at their timeouts. */
    @Test
    public void goesOnAfterTheThreadThatClosesConnectionsFailed() throws Exception {
        exhaustHeapIn(WATCH_THREAD);
        Program.await("the thread is started again", () -> restarts() == 1);
        try (var client = new Client(port)) {
            client.send("POST /api HTTP/1.1\r\nHost: ");
            client.socket.getInputStream().readAllBytes(); // fails if the connection is not closed in time
        }
        assertTrue(process.isAlive());
    }

    /** Guards against a gatherer that reports to be ready while a thread that it needs only fails. */
    @Test
    public void endsIfAThreadFailsTooOften() throws Exception {
        for (int restarts = 1; restarts <= 10; restarts++) {
            int expected = restarts;
            exhaustHeapIn(WATCH_THREAD);
            Program.await("the thread is started again", () -> restarts() == expected);
            Thread.sleep(200); // the delay of the restart
        }
        exhaustHeapIn(WATCH_THREAD);
        assertTrue("ends", process.waitFor(15, TimeUnit.SECONDS));
        assertEquals(EXIT_THREAD_FAILED, process.exitValue());
        Program.await("the failure is logged", () -> log.stream()
                .anyMatch(line -> line.contains("thread failed, the process ends: thread=api-watch exitCode=4")));
    }
}

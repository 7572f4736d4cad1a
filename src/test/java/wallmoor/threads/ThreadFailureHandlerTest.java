package wallmoor.threads;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Which failures of threads are overcome, which end the process, and which concern one task only. */
public class ThreadFailureHandlerTest {
    private static final List<Integer> ENDED = List.of(ThreadFailureHandler.EXIT_THREAD_FAILED);

    private final List<Integer> exitCodes = new ArrayList<>();
    private final ThreadFailureHandler handler = new ThreadFailureHandler(exitCodes::add);
    private final Thread essential = Threads.essentialFactory("essential", 0).newThread(() -> {});
    private final Thread ordinary = new Thread(() -> {}, "ordinary");

    @Test
    public void endsTheProcessIfAnEssentialThreadFails() {
        for (Throwable failure : List.of(new IllegalStateException("a fault"), new StackOverflowError(),
                new OutOfMemoryError("Java heap space"), new NoClassDefFoundError("Missing"))) {
            exitCodes.clear();
            handler.uncaughtException(essential, failure);
            assertEquals(failure.toString(), ENDED, exitCodes);
        }
    }

    @Test
    public void goesOnIfOneTaskFails() {
        for (Throwable failure : List.of(new IllegalStateException("a fault"), new StackOverflowError(),
                new OutOfMemoryError("Java heap space"), new NoClassDefFoundError("Missing"))) {
            handler.uncaughtException(ordinary, failure);
        }
        assertEquals(List.of(), exitCodes);
    }

    @Test
    public void endsTheProcessIfTheFailureCannotBeLogged() {
        var unprintable = new OutOfMemoryError() {
            @Override
            public String toString() {
                throw new OutOfMemoryError("while the failure is logged");
            }

            @Override
            public String getMessage() {
                throw new OutOfMemoryError("while the failure is logged");
            }
        };
        try {
            handler.uncaughtException(essential, unprintable);
        } catch (OutOfMemoryError e) {
            // the virtual machine ignores what the handler throws
        }
        assertEquals(ENDED, exitCodes);
    }

    private static int countRuns(int failuresBeforeReturn, Thread.UncaughtExceptionHandler afterLast) throws Exception {
        var runs = new AtomicInteger();
        var loop = new RestartedLoop(() -> {
            if (runs.incrementAndGet() <= failuresBeforeReturn) {
                throw new OutOfMemoryError("Java heap space");
            }
        });
        Thread thread = new EssentialThread("essential", loop, 0);
        thread.setUncaughtExceptionHandler(afterLast);
        thread.start();
        thread.join(15_000);
        return runs.get();
    }

    /** Guards against a thread that a moment's lack of memory ends. */
    @Test
    public void startsTheWorkOfAnEssentialThreadAgain() throws Exception {
        int restarts = RestartedLoop.MAX_RESTARTS;
        assertEquals(restarts + 1, countRuns(restarts, handler));
        assertEquals(List.of(), exitCodes);
    }

    /** Guards against a process that goes on while one of its threads only fails. */
    @Test
    public void endsTheProcessIfAnEssentialThreadFailsTooOften() throws Exception {
        int restarts = RestartedLoop.MAX_RESTARTS;
        assertEquals(restarts + 1, countRuns(restarts + 1, handler));
        assertEquals(ENDED, exitCodes);
    }

    @Test
    public void letsTheShutdownFinish() {
        handler.shutdownStarted();
        handler.uncaughtException(essential, new IllegalStateException("closed"));
        assertEquals(List.of(), exitCodes);
    }
}

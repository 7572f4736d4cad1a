package wallmoor.ogc;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Guards against queries that wait for memory for ever, or past the end of the program. */
public class QueryMemoryTest {
    private static final int PARTS = 4;
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** The heap has room for one query at a time. */
    private final QueryMemory memory = new QueryMemory(QueryMemory.HEAP_DIVISOR * QueryMemory.queryBytes(PARTS), 2);

    private CompletableFuture<QueryMemory.Reservation> reserveInBackground() {
        var reservation = new CompletableFuture<QueryMemory.Reservation>();
        var thread = new Thread(() -> {
            try {
                reservation.complete(memory.reserve(PARTS, System.nanoTime() + MINUTE_NANOS));
            } catch (InterruptedException | MemoryExhaustedException e) {
                reservation.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return reservation;
    }

    @Test
    public void grantsWaitingQueryOnceMemoryIsReleased() throws Exception {
        QueryMemory.Reservation first = memory.reserve(PARTS, System.nanoTime());
        CompletableFuture<QueryMemory.Reservation> second = reserveInBackground();
        Thread.sleep(100);
        assertFalse(second.isDone());
        first.release();
        second.get(10, TimeUnit.SECONDS).release();
        memory.reserve(PARTS, System.nanoTime()).release();
    }

    @Test
    public void rejectsAtTheDeadlineAndLeavesMemoryToOthers() throws Exception {
        QueryMemory.Reservation first = memory.reserve(PARTS, System.nanoTime());
        assertThrows(MemoryExhaustedException.class,
                () -> memory.reserve(PARTS, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50)));
        first.release();
        memory.reserve(PARTS, System.nanoTime()).release();
    }

    @Test
    public void rejectsWaitingQueriesAtShutDown() throws Exception {
        QueryMemory.Reservation first = memory.reserve(PARTS, System.nanoTime());
        CompletableFuture<QueryMemory.Reservation> second = reserveInBackground();
        Thread.sleep(100);
        memory.shutDown();
        var failure = assertThrows(ExecutionException.class, () -> second.get(10, TimeUnit.SECONDS));
        assertEquals(MemoryExhaustedException.class, failure.getCause().getClass());
        assertThrows(MemoryExhaustedException.class,
                () -> memory.reserve(PARTS, System.nanoTime() + MINUTE_NANOS));
        first.release();
        memory.reserve(PARTS, System.nanoTime()).release();
        assertTrue("a query that fits is served until the end", second.isCompletedExceptionally());
    }
}

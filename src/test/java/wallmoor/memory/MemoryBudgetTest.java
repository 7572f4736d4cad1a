package wallmoor.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wallmoor.memory.MemoryBudget.Decision;

/** Guards against more memory in use than there is, and against requests that wait though they fit. */
class MemoryBudgetTest {
    private static final long CAPACITY = 100;
    private static final int MAX_WAITING = 5;

    @Example
    void grantsInOrderOfArrivalAndRejectsBeyondTheQueue() {
        var budget = new MemoryBudget(CAPACITY, 2);
        assertEquals(Decision.GRANTED, budget.request(1, 60));
        assertEquals(Decision.WAITS, budget.request(2, 50));
        assertEquals(Decision.WAITS, budget.request(3, 1)); // it fits, but would overtake
        assertEquals(Decision.REJECTED, budget.request(4, 1));
        assertEquals(List.of(2L, 3L), budget.end(1));
        assertEquals(51, budget.usedBytes());
        assertEquals(List.of(), budget.end(4));
        assertThrows(IllegalArgumentException.class, () -> budget.request(2, 1));
        assertThrows(IllegalArgumentException.class, () -> budget.request(5, -1));
    }

    @Example
    void grantsRequestAboveTheCapacityOnlyAlone() {
        var budget = new MemoryBudget(CAPACITY, 2);
        assertEquals(Decision.GRANTED, budget.request(1, CAPACITY + 1));
        assertEquals(Decision.WAITS, budget.request(2, 0));
        assertEquals(List.of(2L), budget.end(1));
        assertEquals(Decision.WAITS, budget.request(3, CAPACITY + 1));
        assertEquals(List.of(3L), budget.end(2));
    }

    @Example
    void grantsThoseBehindWaitingRequestThatGivesUp() {
        var budget = new MemoryBudget(CAPACITY, 2);
        budget.request(1, 60);
        budget.request(2, 50);
        budget.request(3, 40);
        assertEquals(List.of(3L), budget.end(2));
        assertEquals(CAPACITY, budget.usedBytes());
    }

    /** Compares with a model that keeps the granted and the waiting requests in lists. */
    @Property(tries = 300, seed = "46")
    void neverExceedsCapacityNorLetsFittingRequestWait(@ForAll long seed) {
        var random = new Random(seed);
        var budget = new MemoryBudget(CAPACITY, MAX_WAITING);
        var bytes = new HashMap<Long, Long>();
        var granted = new ArrayList<Long>();
        var waiting = new ArrayDeque<Long>();
        for (long id = 0; id < 200; id++) {
            if (random.nextBoolean()) {
                bytes.put(id, (long) random.nextInt(random.nextInt(10) == 0 ? 150 : 60));
                switch (budget.request(id, bytes.get(id))) {
                    case GRANTED -> granted.add(id);
                    case WAITS -> waiting.add(id);
                    default -> assertEquals(MAX_WAITING, waiting.size());
                }
            } else {
                long ended = random.nextInt(200);
                granted.remove(ended);
                waiting.remove(ended);
                for (long next : budget.end(ended)) {
                    assertEquals(waiting.remove(), next);
                    granted.add(next);
                }
            }
            check(budget, bytes, granted, waiting);
        }
        for (long id = 0; id < 200; id++) {
            budget.end(id);
        }
        assertEquals(0, budget.usedBytes());
        assertEquals(0, budget.waiting());
    }

    private static void check(MemoryBudget budget, Map<Long, Long> bytes, List<Long> granted,
            ArrayDeque<Long> waiting) {
        long used = granted.stream().mapToLong(bytes::get).sum();
        assertEquals(used, budget.usedBytes());
        assertEquals(waiting.size(), budget.waiting());
        assertTrue(used <= CAPACITY || granted.size() == 1, () -> granted + " use " + used);
        assertTrue(waiting.isEmpty() || (!granted.isEmpty() && used + bytes.get(waiting.peek()) > CAPACITY),
                () -> "the first of " + waiting + " fits beside " + granted);
    }
}

package wallmoor.standin;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Guards against two test JVMs that allocate ports from the same range, so that one takes a port of the other. */
public class PortsTest {
    private static final int RANGE_SIZE = 5_500;

    @Test
    public void eachTestJvmHasItsOwnRange() throws Exception {
        assertEquals(RANGE_SIZE, Math.abs(Ports.firstPort("jvm-1") - Ports.firstPort("jvm-2")));
        assertNotEquals(Ports.firstPort("jvm-1"), Ports.firstPort("jvm-3"));
        int first = Ports.firstPort(System.getProperty("wallmoor.fork"));
        int port = Ports.free();
        assertTrue("port " + port, port >= first && port < first + RANGE_SIZE);
    }

    @Test
    public void mavenGivesThisJvmItsNumber() {
        if (System.getProperty("jqwik.database") != null) { // set beside it in pom.xml
            String fork = System.getProperty("wallmoor.fork");
            assertTrue("wallmoor.fork is '" + fork + "'", fork.matches("jvm-[12]"));
        }
    }

    @Test
    public void rejectsValueWithoutNumber() {
        for (String fork : new String[] {"", "jvm-", "jvm-${surefire.forkNumber}", "1"}) {
            assertThrows(fork, IllegalStateException.class, () -> Ports.firstPort(fork));
        }
    }
}

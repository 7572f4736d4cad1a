package wallmoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** Checks that commands keep their former names as aliases, which deploy files and operators' scripts may use. */
public class CommandNamesTest {

    @Test
    public void acceptsCurrentAndFormerCommandNames() {
        for (String command : new String[] {"simulate", "drill", "train-archive", "rehearse", "serve"}) {
            Console result = Console.run(command, "surplus");
            assertEquals(command, Commands.USAGE_ERROR, result.code());
            assertTrue(result.err(), result.err().contains("surplus"));
        }
    }
}

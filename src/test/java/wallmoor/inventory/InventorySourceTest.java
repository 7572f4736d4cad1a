package wallmoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.config.ConfigException;
import wallmoor.core.WorkerEndpoint;
import wallmoor.decision.ShardLayout;
import wallmoor.endpoints.SourceEndpoint;

/** Tests which endpoints are read from YAML and CSV inventories, and which host or row an error names. */
public class InventorySourceTest {
    private static final String YAML = """
            all:
              vars: {zone: east, port: 80, contact: {name: nobody}}
              children:
                west_hall:
                  vars: {zone: west}
                  hosts:
                    a: {ansible_host: 127.0.0.1, cell: 0}
                    b: {address: "127.0.0.2:81", cell: 1, zone: east, state: draining}
            """;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private InventorySource inventory(Path file) {
        return new InventorySource(file, new ShardLayout(4, 2, 1), List.of("east", "west"), List.of("k"));
    }

    @Test
    public void appliesNearestVariableAndAChangeOnlyAfterItWasReadTwice() throws Exception {
        Path file = folder.newFile("hosts.yaml").toPath();
        Files.writeString(file, YAML);
        InventorySource inventory = inventory(file);
        assertEquals(
                List.of(new SourceEndpoint("a", "127.0.0.1:80", 1, 0, 0, WorkerEndpoint.EndpointState.SERVING, 1,
                        SourceEndpoint.UNKNOWN_START, 0),
                        new SourceEndpoint("b", "127.0.0.2:81", 0, 0, 1, WorkerEndpoint.EndpointState.DRAINING, 1,
                                SourceEndpoint.UNKNOWN_START, 0)),
                inventory.pollForChange());
        assertNull(inventory.pollForChange());
        Files.writeString(file, YAML.replace("draining", "serving"));
        assertNull(inventory.pollForChange());
        assertEquals(WorkerEndpoint.EndpointState.SERVING, inventory.pollForChange().get(1).state());
    }

    /** Guards against the end of the thread that reads the file, by exceptions of the library other than its own. */
    @Test
    public void rejectsScalarsThatTheirTagDoesNotAllowAndAppliesTheNextFile() throws Exception {
        Path file = folder.newFile("hosts.yaml").toPath();
        Files.writeString(file, YAML);
        InventorySource inventory = inventory(file);
        inventory.pollForChange();
        for (String scalar : List.of("._", "!!int \"x\"", "!!float \"x\"", "!!binary \"%%%\"", "!!timestamp \"x\"",
                "!!bool \"x\"")) {
            Files.writeString(file, YAML + "odd: {vars: {a: " + scalar + "}}\n");
            assertNull(scalar, inventory.pollForChange());
            try {
                inventory.pollForChange();
            } catch (ConfigException e) {
                assertTrue(e.getMessage(), e.getMessage().contains("hosts.yaml"));
            }
            Files.writeString(file, YAML);
            assertNull(inventory.pollForChange());
            assertEquals(scalar, 2, inventory.pollForChange().size());
        }
    }

    @Test
    public void doesNotRemoveHostsWhileTheFileIsPartlyWritten() throws Exception {
        Path file = folder.newFile("hosts.yaml").toPath();
        Files.writeString(file, YAML);
        InventorySource inventory = inventory(file);
        inventory.pollForChange();
        Files.writeString(file, YAML.substring(0, YAML.indexOf("        b:"))); // well-formed, but without host b
        assertNull(inventory.pollForChange());
        Files.writeString(file, YAML + "\n");
        assertNull(inventory.pollForChange());
        assertEquals(2, inventory.pollForChange().size());
    }

    @Test
    public void namesTheFileAndTheHostOrRowOfAnInvalidEntry() throws Exception {
        String csv = "host,address,zone,cell,state\nok,127.0.0.1:1,east,0,\n";
        String[][] invalidRows = {{"x,127.0.0.1:1,north,0,serving", "host x"}, {"x,nowhere,east,0,serving", "host x"},
            {"x,127.0.0.1:1,east,2,serving", "host x"}, {"x,127.0.0.1:1,east,0,resting", "host x"},
            {"x,127.0.0.1:1,east", "row 3"}, {"ok,127.0.0.1:1,east,0,serving", "row 3"}, {",a:1,east,0,", "row 3"}};
        for (String[] invalid : invalidRows) {
            Path file = folder.newFile().toPath();
            Path csvFile = Files.writeString(file.resolveSibling(file.getFileName() + ".csv"), csv + invalid[0] + "\n");
            String message = assertThrows(ConfigException.class, () -> inventory(csvFile).pollForChange()).getMessage();
            assertTrue(invalid[0] + ": " + message, message.contains(invalid[1]) && message.contains(".csv"));
        }
    }
}

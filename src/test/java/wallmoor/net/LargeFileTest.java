package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.Test;
import wallmoor.standin.Ports;

/** The program keeps the last valid content of a file that does not fit into its heap, and reads the next one. */
public class LargeFileTest extends EdgeFixture {
    private static final int MAX_DEVICES_FILE_BYTES = 32 << 20;
    private static final int MAX_INVENTORY_BYTES = 1 << 20;

    /** Replaces a file by a move, as a reader must not see a part of it. */
    private void replace(Path file, String content) throws Exception {
        Path next = Files.writeString(folder.getRoot().toPath().resolve("next"), content);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
    }

    private void awaitLogged(String text) throws Exception {
        Program.await(text + " in " + program.log, () -> {
            synchronized (program.log) {
                return program.log.stream().anyMatch(line -> line.contains(text));
            }
        });
    }

    private static String manyDevices() {
        var rows = new StringBuilder("device,sha256\n");
        for (int i = 0; rows.length() < MAX_DEVICES_FILE_BYTES - 200; i++) {
            rows.append("many").append(i).append(",").append("0".repeat(64)).append("\n");
        }
        return rows.toString();
    }

    /** Guards against a device that stays registered after its removal, as the file was no longer read. */
    @Test
    public void readsTheDevicesAgainAfterAFileThatFilledTheHeap() throws Exception {
        start(id -> "ok");
        assertEquals(200, put(id(), body("any", "q", 0)).statusCode());
        replace(devices, manyDevices());
        awaitLogged("devices file rejected, the last valid one stays in use");
        Thread.sleep(2_000); // the file is not read again as long as it is the same
        assertEquals(200, put(id(), body("any", "q", 0)).statusCode());
        replace(devices, "device,sha256\n" + row("d2"));
        awaitLogged("devices file reloaded: devices=1");
        assertEquals(401, put(id(), body("any", "q", 0)).statusCode());
        assertTrue(program.process.isAlive());
    }

    /** Guards against servers that are asked for ever, as the inventory was no longer read. */
    @Test
    public void readsTheInventoryAgainAfterAFileThatFilledTheHeap() throws Exception {
        Path inventory = folder.newFile("inventory.yaml").toPath();
        String valid = "all: {hosts: {fs0: {ansible_host: 127.0.0.1, port: 9101, cell: 0, zone: east}}}\n";
        Files.writeString(inventory, valid);
        start(id -> "ok", "ogc:\n  listen: 127.0.0.1:" + Ports.free() + "\n  inventory: inventory.yaml\n"
                + "  collections:\n    branches: {title: Branches, class: all, shards: [0]}\n");
        replace(inventory, "all: [" + "1,".repeat(MAX_INVENTORY_BYTES / 2 - 20) + "]\n");
        awaitLogged(
                "inventory rejected, last valid endpoints remain in use: error=inventory.yaml: file has more values");
        replace(inventory, valid.replace("9101", "9102"));
        awaitLogged("inventory applied: file=inventory.yaml hosts=1");
        assertTrue(program.process.isAlive());
    }
}

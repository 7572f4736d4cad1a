package wallmoor.cli;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.edge.Devices;
import wallmoor.edge.EdgeRequest;

/** Edits the file of devices. The file is replaced atomically, so that a gatherer never reads a partly written one. */
@Command(name = "devices", mixinStandardHelpOptions = true,
        description = "Manage the file of devices that may send queries.")
final class DevicesCommand extends CommandGroup {
    private static final String HEADER = "device,sha256";
    private static final int SECRET_BYTES = 32;

    DevicesCommand() {
        super("add, list or revoke");
    }

    @Command(name = "add", mixinStandardHelpOptions = true,
            description = "Add a device and print its token, which is stored nowhere else.")
    int add(@Option(names = "--file", required = true, paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "DEVICE") String device) throws IOException {
        if (!device.matches("[A-Za-z0-9_-]{1,64}")) {
            throw new ParameterException(spec.commandLine(),
                    "the device name '" + device + "' is invalid: 1 to 64 letters, digits, - or _");
        }
        return locked(file, () -> addLocked(file, device));
    }

    private int addLocked(Path file, String device) throws IOException {
        List<String> lines = read(file);
        if (lines.stream().anyMatch(l -> l.startsWith(device + ","))) {
            System.err.println("wallmoor: device " + device + " already exists in " + file + ": revoke it first");
            return Commands.USAGE_ERROR;
        }
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        String token = device + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
        lines.add(device + "," + HexFormat.of().formatHex(EdgeRequest.sha256(token.getBytes(StandardCharsets.UTF_8))));
        write(file, lines);
        System.out.println(token);
        return 0;
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Print the devices' names.")
    int list(@Option(names = "--file", required = true, paramLabel = "FILE") Path file) throws IOException {
        read(file).stream().skip(1).filter(l -> !l.isBlank() && !l.startsWith("#")).map(l -> l.split(",")[0])
                .forEach(System.out::println);
        return 0;
    }

    @Command(name = "revoke", mixinStandardHelpOptions = true,
            description = "Remove a device: it is refused within 2 s; its running queries go on, and their outcomes "
                    + "are retained.")
    int revoke(@Option(names = "--file", required = true, paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "DEVICE") String device) throws IOException {
        return locked(file, () -> revokeLocked(file, device));
    }

    private int revokeLocked(Path file, String device) throws IOException {
        List<String> lines = read(file);
        if (!lines.removeIf(l -> l.startsWith(device + ","))) {
            System.err.println("wallmoor: device " + device + " does not exist in " + file);
            return Commands.USAGE_ERROR;
        }
        write(file, lines);
        return 0;
    }

    /** A change of the file, which returns the command's exit code. */
    private interface Change {
        int apply() throws IOException;
    }

    /**
     * Applies a change while no other command changes the file: the file is read, changed and replaced, so a change
     * between the two would be lost. The lock is held on a file of its own, as the file itself is replaced.
     */
    private static int locked(Path file, Change change) throws IOException {
        Path lockFile = file.toAbsolutePath().resolveSibling(file.getFileName() + ".lock");
        try (var channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            channel.lock(); // closing the channel releases it
            return change.apply();
        }
    }

    private List<String> read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new ArrayList<>(List.of(HEADER));
        }
        try {
            new Devices(file);
        } catch (ConfigException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        return new ArrayList<>(Files.readAllLines(file));
    }

    private static void write(Path file, List<String> lines) throws IOException {
        Path newFile = file.toAbsolutePath().resolveSibling(file.getFileName() + ".new");
        Files.write(newFile, lines);
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

package wallmoor.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
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

/** Keeps the file of devices. It is replaced whole, so that a gatherer which reads it never sees half of it. */
@Command(name = "devices", mixinStandardHelpOptions = true, description = "Keep the file of devices that may ask.")
final class DevicesCommand extends CommandGroup {
    private static final String HEADER = "device,sha256";
    private static final int SECRET = 32;

    DevicesCommand() {
        super("add, list or revoke");
    }

    @Command(name = "add", mixinStandardHelpOptions = true,
            description = "Add a device and print its token: it is kept nowhere else.")
    int add(@Option(names = "--file", required = true, paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "DEVICE") String device) throws IOException {
        if (!device.matches("[A-Za-z0-9_-]{1,64}")) {
            throw new ParameterException(spec.commandLine(), "a device's name has letters, digits, - and _ alone");
        }
        List<String> lines = read(file);
        if (lines.stream().anyMatch(l -> l.startsWith(device + ","))) {
            System.err.println("wallmoor: " + device + " is there already: revoke it first");
            return Commands.USAGE;
        }
        byte[] drawn = new byte[SECRET];
        new SecureRandom().nextBytes(drawn);
        String token = device + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(drawn);
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
            description = "Remove a device: it is refused within 2 s; what it had out goes on, its outcomes are kept.")
    int revoke(@Option(names = "--file", required = true, paramLabel = "FILE") Path file,
            @Parameters(paramLabel = "DEVICE") String device) throws IOException {
        List<String> lines = read(file);
        if (!lines.removeIf(l -> l.startsWith(device + ","))) {
            System.err.println("wallmoor: there is no device " + device);
            return Commands.USAGE;
        }
        write(file, lines);
        return 0;
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
        Path whole = file.toAbsolutePath().resolveSibling(file.getFileName() + ".new");
        Files.write(whole, lines);
        Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

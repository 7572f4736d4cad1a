package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Stream;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.standin.Ports;

/**
 * Tests that a start loads its classes from the class-data archive, with the build and run commands of
 * deploy/balancer.toml. Guards against slow starts, which come from classes that the archive lacks and from lambdas
 * that are linked at run time; no time is measured.
 */
public class StartTest {
    /** The JDK links one or two lambda forms for its first socket, whose classes no archive can hold. */
    private static final int MAX_CLASSES_OUTSIDE_ARCHIVE = 5;
    /** Lambdas in the JDK's own classes, which the build can't turn into classes. */
    private static final int MAX_JDK_LAMBDAS = 20;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void loadsAllClassesOfAStartFromTheArchiveOfTheBuild() throws Exception {
        Path root = folder.getRoot().toPath();
        createBuildDirectory(root);
        String build = command("build");
        assertTrue(build, build.startsWith("mvn -q -DskipTests package && "));
        Process buildProcess = sh(root, build.substring(build.indexOf("&& ") + 3), null, null);
        List<String> output = new ArrayList<>();
        Program.read(buildProcess, output);
        assertTrue(buildProcess.waitFor(60, TimeUnit.SECONDS));
        assertEquals(output.toString(), 0, buildProcess.exitValue());
        assertTrue(output.toString(), output.stream().noneMatch(l -> l.contains("slower")));
        assertTrue(Files.size(root.resolve("target/wallmoor.jsa")) > 0);

        Path log = root.resolve("classes");
        List<String> loaded;
        try (var discovery = new StandIn.Discovery(); var worker = new StandIn.Worker(id -> "ok")) {
            int port = Ports.free();
            Path config = Files.writeString(root.resolve("config.json"), Program.config("t", Program.SEED, port,
                    discovery.port(), worker.member("a", 0, "SERVING"), 1024));
            Process process = sh(root, command("run"), config, "-Xlog:class+load:file=" + log);
            try {
                Program.read(process, new ArrayList<>());
                Program.await("ready", () -> isReady(port));
                for (int i = 0; i < 30; i++) {
                    assertEquals(200, Client.post(port, "q" + i, "all", 1900, 0).status);
                }
                loaded = Files.readAllLines(log);
            } finally {
                process.destroyForcibly().onExit().join();
            }
        }
        List<String> outside = loaded.stream().filter(l -> !l.contains("source: shared objects file")).toList();
        List<String> lambdas = loaded.stream().filter(l -> l.contains("$$Lambda")).toList();
        assertTrue("classes from the archive",
                loaded.stream().filter(l -> l.contains("shared objects file (top)")).count() > 300);
        assertEquals("own classes not in the archive", List.of(),
                outside.stream().filter(l -> l.contains(" wallmoor.")).toList());
        assertTrue(outside.toString(), outside.size() <= MAX_CLASSES_OUTSIDE_ARCHIVE);
        assertEquals("own lambdas", List.of(), lambdas.stream().filter(l -> l.contains(" wallmoor.")).toList());
        assertTrue(lambdas.toString(), lambdas.size() <= MAX_JDK_LAMBDAS);
    }

    /** Guards against a heap that alone takes most of a small memory limit, which the process passes under load. */
    @Test
    public void givesTheHeapWhatTheMemoryLimitLeaves() throws Exception {
        assertEquals("-Xmx48m", heapOption("{\"limits\":{\"cores\":0.5, \"memory_mb\": 192}}"));
        assertEquals("-Xmx48m", heapOption("{\"limits\":{\"memory_mb\":128,\"sockets\":1024}}"));
        assertEquals("-Xmx48m", heapOption("{\"limits\":{\"memory_mb\":96}}"));
        assertEquals("-Xmx32m", heapOption("{\"limits\":{\"memory_mb\":80}}"));
        assertEquals("-Xmx16m", heapOption("{\"limits\":{\"memory_mb\":64}}"));
        assertEquals("-Xmx16m", heapOption("{\"limits\":{\"memory_mb\":32}}"));
        assertEquals("without a limit", "-Xmx48m", heapOption("{\"limits\":{}}"));
    }

    /** Returns the option for the largest heap with which {@code run} starts Java for this configuration. */
    private String heapOption(String config) throws Exception {
        Path file = Files.writeString(folder.newFile().toPath(), config);
        String command = command("run").replace(" exec java ", " exec echo ");
        Process process = sh(folder.getRoot().toPath(), command, file, "");
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        return Stream.of(output.trim().split(" ")).filter(option -> option.startsWith("-Xmx")).findFirst()
                .orElse(output);
    }

    private static boolean isReady(int port) {
        try {
            return Client.get(port, "/-/ready").status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Creates the directory that Maven's package phase leaves: the jar, its libraries and the example. */
    private static void createBuildDirectory(Path root) throws IOException {
        Path lib = Files.createDirectories(root.resolve("target/lib"));
        var names = new StringBuilder();
        for (String entry : System.getProperty("java.class.path").split(":")) {
            Path jar = Path.of(entry);
            if (entry.endsWith(".jar")) {
                Files.createSymbolicLink(lib.resolve(jar.getFileName()), jar.toAbsolutePath());
                names.append("lib/").append(jar.getFileName()).append(' ');
            }
        }
        var manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, names.toString().trim());
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "wallmoor.Main");
        Path classes = Path.of("target/classes");
        try (var jar = new JarOutputStream(Files.newOutputStream(root.resolve("target/wallmoor.jar")), manifest);
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                jar.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                Files.copy(file, jar);
                jar.closeEntry();
            }
        }
        Files.createSymbolicLink(root.resolve("example"), Path.of("example").toAbsolutePath());
    }

    /** Returns the command under this key of the platform's file. */
    private static String command(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith(key + " = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    private static Process sh(Path directory, String command, Path config, String javaOptions) throws IOException {
        var builder = new ProcessBuilder("/bin/sh", "-c", command).directory(directory.toFile());
        if (config != null) {
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("_JAVA_OPTIONS", javaOptions); // applied after the command's own options
        }
        return builder.start();
    }
}

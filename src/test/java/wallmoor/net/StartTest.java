package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
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
 * What a start takes from the archive of classes, by the very lines of deploy/balancer.toml. No time is looked at: a
 * class that the archive lacks, or a lambda that is linked as the program runs, is what makes a start slow.
 */
public class StartTest {
    /**
     * The JDK links a form or two of its own as it makes the first socket, and gives it no name that an archive takes.
     */
    private static final int MOST_OUTSIDE = 5;
    /** Lambdas of the JDK's own classes, which the build can't turn into classes. */
    private static final int MOST_LAMBDAS = 20;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void aStartTakesAllItNeedsFromTheArchiveThatTheBuildMakes() throws Exception {
        Path root = folder.getRoot().toPath();
        repository(root);
        String build = line("build");
        assertTrue(build, build.startsWith("mvn -q -DskipTests package && "));
        Process making = sh(root, build.substring(build.indexOf("&& ") + 3), null, null);
        List<String> said = new ArrayList<>();
        Program.read(making, said);
        assertTrue(making.waitFor(60, TimeUnit.SECONDS));
        assertEquals(said.toString(), 0, making.exitValue());
        assertTrue(said.toString(), said.stream().noneMatch(l -> l.contains("slower")));
        assertTrue(Files.size(root.resolve("target/wallmoor.jsa")) > 0);

        Path log = root.resolve("classes");
        List<String> loaded;
        try (var discovery = new StandIn.Discovery(); var node = new StandIn.Worker(id -> "ok")) {
            int port = Ports.free();
            Path config = Files.writeString(root.resolve("config.json"), Program.config("t", Program.SEED, port,
                    discovery.port(), node.member("a", 0, "SERVING"), 1024));
            Process process = sh(root, line("run"), config, "-Xlog:class+load:file=" + log);
            try {
                Program.read(process, new ArrayList<>());
                Program.await("ready", () -> ready(port));
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
        assertTrue("the archive is used",
                loaded.stream().filter(l -> l.contains("shared objects file (top)")).count() > 300);
        assertEquals("own classes not in the archive", List.of(),
                outside.stream().filter(l -> l.contains(" wallmoor.")).toList());
        assertTrue(outside.toString(), outside.size() <= MOST_OUTSIDE);
        assertEquals("own lambdas", List.of(), lambdas.stream().filter(l -> l.contains(" wallmoor.")).toList());
        assertTrue(lambdas.toString(), lambdas.size() <= MOST_LAMBDAS);
    }

    private static boolean ready(int port) {
        try {
            return Client.get(port, "/-/ready").status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A directory as it is after Maven has run: the jar, its libraries, the example. */
    private static void repository(Path root) throws IOException {
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

    /** A line of the platform's file. */
    private static String line(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith(key + " = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
    }

    private static Process sh(Path in, String line, Path config, String options) throws IOException {
        var builder = new ProcessBuilder("/bin/sh", "-c", line).directory(in.toFile());
        if (config != null) {
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("_JAVA_OPTIONS", options); // the only ones that come after those of the line
        }
        return builder.start();
    }
}

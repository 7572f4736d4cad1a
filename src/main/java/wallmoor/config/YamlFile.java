package wallmoor.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;

/** Reads a YAML file as nodes with line numbers, and reports the faults found in it. */
final class YamlFile {
    private YamlFile() {}

    /**
     * Reads a file.
     *
     * @throws ConfigException if the file can't be read, is larger than {@code maxBytes}, or is not valid YAML
     */
    static Node compose(Path file, int maxBytes) {
        try {
            if (Files.size(file) > maxBytes) {
                throw new ConfigException(file.toString(), file + " is larger than " + maxBytes + " bytes");
            }
            var options = new LoaderOptions();
            options.setCodePointLimit(maxBytes);
            return new Yaml(options).compose(new java.io.StringReader(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException(file.toString(), file + " cannot be read: " + e);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            throw new ConfigException(file.toString(),
                    file + ": line " + line + ": is not valid YAML: " + e.getProblem());
        } catch (YAMLException e) {
            throw new ConfigException(file.toString(),
                    file + ": is not valid YAML: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }

    /**
     * Does nothing if there are no faults.
     *
     * @throws ConfigException with all faults in its message, one per line, in the order of the lines of the file
     */
    static void throwIfFaulty(Path file, List<ConfigSection.Fault> faults) {
        if (!faults.isEmpty()) {
            var text = new StringBuilder();
            faults.stream().sorted((a, b) -> Integer.compare(a.line(), b.line()))
                    .forEach(f -> text.append(text.length() == 0 ? "" : "\n").append(file).append(": ").append(f));
            throw new ConfigException(faults.get(0).key(), text.toString());
        }
    }
}

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

/** A file of YAML as nodes that know their lines, and what is told of its faults. */
final class YamlFile {
    private YamlFile() {}

    /**
     * Reads a file.
     *
     * @throws ConfigException where it can't be read, is larger than {@code mostBytes}, or is no YAML
     */
    static Node compose(Path file, int mostBytes) {
        try {
            if (Files.size(file) > mostBytes) {
                throw new ConfigException(file.toString(), file + " is larger than " + mostBytes + " bytes");
            }
            var options = new LoaderOptions();
            options.setCodePointLimit(mostBytes);
            return new Yaml(options).compose(new java.io.StringReader(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigException(file.toString(), file + " can't be read: " + e);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            throw new ConfigException(file.toString(), file + ": line " + line + ": is no YAML: " + e.getProblem());
        } catch (YAMLException e) {
            throw new ConfigException(file.toString(),
                    file + ": is no YAML: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }

    /**
     * Ends well where there are no faults.
     *
     * @throws ConfigException with all of them in its message, one a line
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

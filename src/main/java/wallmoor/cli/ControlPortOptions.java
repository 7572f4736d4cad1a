package wallmoor.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;

/** Which control port a command asks, and how it prints the answer: options of a command. */
abstract class ControlPortOptions {
    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--at", paramLabel = "ADDRESS:PORT",
            description = "The control port; else ${PARENT-COMMAND-NAME}.control of the operators' file.")
    private String at;

    @Option(names = "--json", description = "Print JSON objects, one a line.")
    private boolean json;

    private final String setting;
    private final String missing;

    /**
     * Options of the commands below one.
     *
     * @param setting of the operators' file that has the address
     * @param missing what it means that it is not set
     */
    ControlPortOptions(String setting, String missing) {
        this.setting = setting;
        this.missing = missing;
    }

    /** The address of the operators' file, or null where it has none. */
    abstract InetSocketAddress configured(OperatorConfig operator);

    /** Where to ask. */
    final InetSocketAddress address() {
        if (at != null) {
            return LaunchConfig.address("--at", at);
        }
        InetSocketAddress configured = configured(files.operator(files.launch()));
        if (configured == null) {
            throw new ConfigException(setting, missing);
        }
        return configured;
    }

    /** Whether the answer is printed as it came. */
    final boolean json() {
        return json;
    }
}

package wallmoor.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;

/** Command options for the control port that a command sends its request to, and for the format of its output. */
abstract class ControlPortOptions {
    @Mixin
    private ConfigFileOptions files;

    @Option(names = "--at", paramLabel = "ADDRESS:PORT",
            description = "The control port (default: ${PARENT-COMMAND-NAME}.control of the operators' file).")
    private String controlAddress;

    @Option(names = "--json", description = "Print JSON objects, one per line.")
    private boolean json;

    private final String setting;
    private final String unsetMessage;

    /**
     * Creates the options shared by the subcommands of a command.
     *
     * @param setting      the key of the address in the operators' file
     * @param unsetMessage the error message if neither that key nor {@code --at} is set
     */
    ControlPortOptions(String setting, String unsetMessage) {
        this.setting = setting;
        this.unsetMessage = unsetMessage;
    }

    /** Returns the control port's address in the operators' file, or null if it has none. */
    abstract InetSocketAddress configuredAddress(OperatorConfig operator);

    /** Returns the address of {@code --at}, or else the one in the operators' file. */
    final InetSocketAddress address() {
        if (controlAddress != null) {
            return LaunchConfig.address("--at", controlAddress);
        }
        InetSocketAddress configured = configuredAddress(files.readOperatorConfig(files.readLaunchConfig()));
        if (configured == null) {
            throw new ConfigException(setting, unsetMessage);
        }
        return configured;
    }

    /** Returns whether the response is printed as JSON, unchanged. */
    final boolean isJson() {
        return json;
    }
}

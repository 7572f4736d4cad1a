package wallmoor.cli;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine.Option;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;

/** Command options for the two files that a gatherer is started with; each defaults to an environment variable. */
final class ConfigFileOptions {
    @Option(names = "--config", paramLabel = "FILE",
            description = "The gatherer's JSON configuration (default: the file that ROUTER_CONFIG names).")
    private Path configFile;

    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operators' file (default: the file that WALLMOOR_OPERATOR names).")
    private Path operatorFile;

    /** Returns the process environment, with the files given as options in place of those that it names. */
    private Map<String, String> environment() {
        var env = new HashMap<>(System.getenv());
        if (configFile != null) {
            env.put("ROUTER_CONFIG", configFile.toString());
        }
        if (operatorFile != null) {
            env.put("WALLMOOR_OPERATOR", operatorFile.toString());
        }
        return env;
    }

    LaunchConfig readLaunchConfig() {
        return LaunchConfig.read(environment());
    }

    OperatorConfig readOperatorConfig(LaunchConfig launch) {
        return OperatorConfig.read(environment(), launch);
    }
}

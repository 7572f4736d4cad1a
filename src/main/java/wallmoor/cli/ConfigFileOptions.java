package wallmoor.cli;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine.Option;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;

/** The two files that a gatherer is started with, as options of a command. */
final class ConfigFileOptions {
    @Option(names = "--config", paramLabel = "FILE",
            description = "The gatherer's JSON configuration; else ROUTER_CONFIG names it.")
    private Path config;

    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operators' file; else WALLMOOR_OPERATOR names it.")
    private Path operator;

    private Map<String, String> environment() {
        var env = new HashMap<>(System.getenv());
        if (config != null) {
            env.put("ROUTER_CONFIG", config.toString());
        }
        if (operator != null) {
            env.put("WALLMOOR_OPERATOR", operator.toString());
        }
        return env;
    }

    LaunchConfig launch() {
        return LaunchConfig.read(environment());
    }

    OperatorConfig operator(LaunchConfig launch) {
        return OperatorConfig.read(environment(), launch);
    }
}

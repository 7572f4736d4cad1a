package wallmoor.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.inventory.InventorySource;

/** Checks the files without serving. */
@Command(name = "check", mixinStandardHelpOptions = true,
        description = "Check the gatherer's configuration, the operators' file and the inventories it names.",
        footer = "Exits 0 when all are sound, 2 with every fault on a line of its own.")
final class CheckCommand implements Callable<Integer> {
    @Mixin
    private ConfigFileOptions files;

    @Parameters(arity = "0..1", paramLabel = "FILE", description = "The operators' file, in place of --operator.")
    private Path file;

    @Override
    public Integer call() {
        List<String> faults = new ArrayList<>();
        try {
            LaunchConfig launch = files.launch();
            OperatorConfig operator = file != null ? OperatorConfig.read(file, launch) : files.operator(launch);
            if (operator.inventory() != null) {
                inventory(new InventorySource(operator.inventory().file(), launch.settings().layout(), launch.zones(),
                        launch.kinds()), faults);
            }
            if (operator.ogc() != null) {
                inventory(new InventorySource(operator.ogc().inventory(), operator.ogc().layout(), launch.zones(),
                        launch.kinds()), faults);
            }
        } catch (ConfigException e) {
            faults.add(e.getMessage());
        }
        faults.forEach(System.err::println);
        if (!faults.isEmpty()) {
            return Commands.USAGE;
        }
        System.out.println("sound");
        return 0;
    }

    private static void inventory(InventorySource inventory, List<String> faults) {
        try {
            inventory.initialEndpoints();
        } catch (ConfigException e) {
            faults.add(e.getMessage());
        }
    }
}

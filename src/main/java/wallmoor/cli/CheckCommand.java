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

/** Checks the configuration files and inventories without serving. */
@Command(name = "check", mixinStandardHelpOptions = true,
        description = "Check the gatherer's configuration, the operators' file and the inventories that it names.",
        footer = "Exits 0 when all files are valid, 2 after printing each error on a line of its own.")
final class CheckCommand implements Callable<Integer> {
    @Mixin
    private ConfigFileOptions files;

    @Parameters(arity = "0..1", paramLabel = "FILE", description = "The operators' file, used instead of --operator.")
    private Path operatorFile;

    @Override
    public Integer call() {
        List<String> errors = new ArrayList<>();
        try {
            LaunchConfig launch = files.readLaunchConfig();
            OperatorConfig operator = operatorFile != null ? OperatorConfig.read(operatorFile, launch)
                    : files.readOperatorConfig(launch);
            if (operator.inventory() != null) {
                checkInventory(new InventorySource(operator.inventory().file(), launch.settings().layout(),
                        launch.zones(), launch.kinds()), errors);
            }
            if (operator.ogc() != null) {
                checkInventory(new InventorySource(operator.ogc().inventory(), operator.ogc().layout(), launch.zones(),
                        launch.kinds()), errors);
            }
        } catch (ConfigException e) {
            errors.add(e.getMessage());
        }
        errors.forEach(System.err::println);
        if (!errors.isEmpty()) {
            return Commands.USAGE_ERROR;
        }
        System.out.println("sound");
        return 0;
    }

    private static void checkInventory(InventorySource inventory, List<String> errors) {
        try {
            inventory.initialEndpoints();
        } catch (ConfigException e) {
            errors.add(e.getMessage());
        }
    }
}

package wallmoor.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line, with a subcommand for each thing an operator does. */
@Command(name = "wallmoor", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "A gatherer: queries split over nodes, one final answer in time.",
        footer = {"", "Exit codes: 0 well, 1 an error of the program's own, 2 bad usage or configuration;",
            "others as the command's own help says."},
        subcommands = {CheckCommand.class, MembersCommand.class, ResolveCommand.class, DeviceCommand.class,
            DevicesCommand.class,
            FleetCommand.class,
            MaintenanceCommand.class, RebalanceCommand.class, RulesCommand.class, SummariesCommand.class,
            GenerateCompletion.class})
public final class Commands extends CommandGroup {
    /** What the command was called with could not be used, or a configuration could not. */
    static final int USAGE = 2;

    private Commands() {
        super("a command");
    }

    /** The version that the build wrote into the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"wallmoor " + (version == null ? "(not packaged)" : version)};
        }
    }

    /** For the help alone: these run without this command line. */
    @Command(name = "serve", description = "Serve as a gatherer; ROUTER_CONFIG and WALLMOOR_OPERATOR name its files.")
    private static final class Serve extends Plain {}

    @Command(name = "simulate", aliases = "drill", description = "Speak the simulator's wire on standard streams.")
    private static final class Simulate extends Plain {}

    @Command(name = "train-archive", aliases = "rehearse",
            description = "Load what serving needs and end, for an archive of classes.")
    private static final class TrainArchive extends Plain {}

    /** A command that takes no options, or it would not have come here. */
    private abstract static class Plain implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), spec.name() + " takes no arguments");
        }
    }

    /** Runs a command line and returns its exit code. */
    public static int run(String... args) {
        return new CommandLine(new Commands()).addSubcommand(new Serve()).addSubcommand(new Simulate())
                .addSubcommand(new TrainArchive()).execute(args);
    }
}

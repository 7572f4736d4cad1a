package wallmoor.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The top-level command, with a subcommand for each of an operator's tasks. */
@Command(name = "wallmoor", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "A gatherer: splits each query over nodes and returns one final answer within its deadline.",
        footer = {"", "Exit codes: 0 success, 1 internal error, 2 invalid usage or configuration;",
            "for others see the help of the command."},
        subcommands = {CheckCommand.class, MembersCommand.class, ResolveCommand.class, DeviceCommand.class,
            DevicesCommand.class,
            FleetCommand.class,
            MaintenanceCommand.class, RebalanceCommand.class, RulesCommand.class, SummariesCommand.class,
            GenerateCompletion.class})
public final class Commands extends CommandGroup {
    /** Exit code for invalid arguments or an invalid configuration. */
    static final int USAGE_ERROR = 2;

    private Commands() {
        super("see the list of commands");
    }

    /** Provides the version that the build wrote into the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"wallmoor " + (version == null ? "(not packaged)" : version)};
        }
    }

    /** Listed for the help only: {@code Main} runs this command and the two below without this command line. */
    @Command(name = "serve", description = "Serve as a gatherer; ROUTER_CONFIG and WALLMOOR_OPERATOR name its files.")
    private static final class Serve extends NoArgumentsCommand {}

    @Command(name = "simulate", aliases = "drill",
            description = "Exchange messages with the simulator over the standard streams.")
    private static final class Simulate extends NoArgumentsCommand {}

    @Command(name = "train-archive", aliases = "rehearse",
            description = "Load the classes that serving needs and exit, to create a class data sharing archive.")
    private static final class TrainArchive extends NoArgumentsCommand {}

    /**
     * A command that {@code Main} runs itself if it has no arguments. It gets here only with surplus arguments, which
     * are a usage error.
     */
    private abstract static class NoArgumentsCommand implements Callable<Integer> {
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

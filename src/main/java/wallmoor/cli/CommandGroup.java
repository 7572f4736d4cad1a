package wallmoor.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that only groups subcommands: running it without one is a usage error. */
abstract class CommandGroup implements Runnable {
    @Spec
    CommandSpec spec;

    private final String subcommands;

    /**
     * Creates a group.
     *
     * @param subcommands the subcommands, as the error message for a missing subcommand lists them
     */
    CommandGroup(String subcommands) {
        this.subcommands = subcommands;
    }

    @Override
    public final void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required: " + subcommands);
    }
}

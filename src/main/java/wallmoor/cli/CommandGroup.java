package wallmoor.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** A command that does nothing without one of its subcommands. */
abstract class CommandGroup implements Runnable {
    @Spec
    CommandSpec spec;

    private final String missing;

    /** {@code missing} names the subcommands, as the complaint does that one of them is missing. */
    CommandGroup(String missing) {
        this.missing = missing;
    }

    @Override
    public final void run() {
        throw new ParameterException(spec.commandLine(), missing + " is missing");
    }
}

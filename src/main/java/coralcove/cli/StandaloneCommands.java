package coralcove.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Commands that {@link Main} starts directly. Declared here for their help pages, and to reject
 * arguments.
 */
final class StandaloneCommands {
    private StandaloneCommands() {}

    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description =
                    "Runs the routing policy on the simulator's protocol, on standard input and"
                            + " output.",
            footer = {"", "Example: coralcove drill"})
    static final class DrillHelp extends CommandWithoutArguments {}

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "Runs one session router on the platform's protocol, with the configuration"
                            + " that BALANCER_CONFIG names.",
            footer = {"", "Example: BALANCER_CONFIG=config.json coralcove serve"})
    static final class ServeHelp extends CommandWithoutArguments {}

    @Command(
            name = "trial",
            mixinStandardHelpOptions = true,
            description =
                    "Runs one session router on loopback against simulated peers, to check that"
                            + " sessions are established on this machine.",
            footer = {"", "Example: coralcove trial"})
    static final class TrialHelp extends CommandWithoutArguments {}

    private abstract static class CommandWithoutArguments implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), spec.name() + " takes no arguments");
        }
    }
}

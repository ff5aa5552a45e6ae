package coralcove.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Commands that {@link Main} starts by itself: they are here for their help, and to say that they
 * take no arguments.
 */
final class StartedByMain {
    private StartedByMain() {}

    @Command(
            name = "drill",
            mixinStandardHelpOptions = true,
            description = "The decisions on the simulator's wire, on standard input and output.",
            footer = {"", "Example: coralcove drill"})
    static final class DrillHelp extends Bare {}

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "One session router on the platform's protocol, as the file BALANCER_CONFIG"
                            + " names has it.",
            footer = {"", "Example: BALANCER_CONFIG=config.json coralcove serve"})
    static final class ServeHelp extends Bare {}

    @Command(
            name = "trial",
            mixinStandardHelpOptions = true,
            description =
                    "One session router on loopback against stand-ins: whether sessions get through"
                            + " on this machine.",
            footer = {"", "Example: coralcove trial"})
    static final class TrialHelp extends Bare {}

    private abstract static class Bare implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), spec.name() + " takes no arguments");
        }
    }
}

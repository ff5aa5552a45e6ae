package coralcove.cli;

import coralcove.config.BadConfig;
import coralcove.platform.live.SessionRouterServer;
import coralcove.platform.trial.LoopbackTrial;
import coralcove.simulator.MalformedFrameException;
import coralcove.simulator.SimulatorAdapter;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Entry point of the program. Starts {@code drill}, {@code serve} and {@code trial} directly,
 * without loading the classes that only the other commands need.
 */
public final class Main {
    /** Environment variable with the path of the session router's configuration. */
    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";

    /** Sessions of a trial: enough to load every class that a session needs. */
    private static final int TRIAL_SESSIONS = 100;

    private Main() {}

    public static void main(String[] args) {
        FatalErrorHandler.install();
        String command = args.length == 1 ? args[0] : "";
        try {
            switch (command) {
                case "drill" -> SimulatorAdapter.run(System.in, System.out);
                case "serve" -> {
                    String file = System.getenv(CONFIG_VARIABLE);
                    if (file == null || file.isEmpty()) {
                        throw new BadConfig(
                                CONFIG_VARIABLE + " does not name a configuration file");
                    }
                    SessionRouterServer.run(Path.of(file));
                    System.exit(0);
                }
                case "trial" -> {
                    LoopbackTrial.Result result = LoopbackTrial.run(TRIAL_SESSIONS);
                    System.out.println(
                            result.attempted()
                                    + " sessions, "
                                    + result.established()
                                    + " stood, "
                                    + result.released()
                                    + " were released");
                    System.exit(
                            result.established() == TRIAL_SESSIONS
                                            && result.released() == TRIAL_SESSIONS
                                    ? 0
                                    : 1);
                }
                default -> System.exit(Commands.run(args));
            }
        } catch (BadConfig | MalformedFrameException | IOException e) {
            System.err.println("coralcove: " + e.getMessage());
            System.exit(1);
        } catch (InterruptedException e) {
            System.exit(1);
        }
    }
}

package coralcove.cli;

import coralcove.config.BadConfig;
import coralcove.drill.BadFrame;
import coralcove.drill.Drill;
import coralcove.platform.live.Serve;
import coralcove.platform.trial.Trial;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The program's entry. {@code drill}, {@code serve} and {@code trial} are started here, without
 * what the other commands need.
 */
public final class Main {
    /** The variable that names a session router's configuration. */
    private static final String CONFIG = "BALANCER_CONFIG";

    /** Sessions of a trial: enough to load what a session needs. */
    private static final int SESSIONS = 100;

    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        try {
            switch (command) {
                case "drill" -> Drill.run(System.in, System.out);
                case "serve" -> {
                    String file = System.getenv(CONFIG);
                    if (file == null || file.isEmpty()) {
                        throw new BadConfig(CONFIG + " names no configuration");
                    }
                    Serve.run(Path.of(file));
                    System.exit(0);
                }
                case "trial" -> {
                    Trial.Result result = Trial.run(SESSIONS);
                    System.out.println(
                            result.asked()
                                    + " sessions, "
                                    + result.stood()
                                    + " stood, "
                                    + result.released()
                                    + " were released");
                    System.exit(
                            result.stood() == SESSIONS && result.released() == SESSIONS ? 0 : 1);
                }
                default -> System.exit(Commands.run(args));
            }
        } catch (BadConfig | BadFrame | IOException e) {
            System.err.println("coralcove: " + e.getMessage());
            System.exit(1);
        } catch (InterruptedException e) {
            System.exit(1);
        }
    }
}

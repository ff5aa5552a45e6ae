package coralcove.cli;

import coralcove.drill.BadFrame;
import coralcove.drill.Drill;
import java.io.IOException;

/** The program's entry. {@code drill} is started here, so that it loads none of what the other commands need. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.exit(Commands.run(args));
        }
        try {
            Drill.run(System.in, System.out);
        } catch (BadFrame | IOException e) {
            System.err.println("coralcove: " + e.getMessage());
            System.exit(1);
        }
    }
}

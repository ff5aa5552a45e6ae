package coralcove.cli;

import coralcove.drill.Drill;
import coralcove.drill.BadFrame;
import java.io.IOException;

/** The program's commands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: coralcove drill   (decide on the simulator's wire, standard input to output)");
            System.exit(2);
        }
        try {
            Drill.run(System.in, System.out);
        } catch (BadFrame | IOException e) {
            System.err.println("coralcove: " + e.getMessage());
            System.exit(1);
        }
    }
}

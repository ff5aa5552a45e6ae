package coralcove.judge;

/** The figures of the five rules, in µs; {@code setUpsPerSecond} is what a warm exchange can do. */
public record Rules(
        long answerGrace,
        long drainGrace,
        long releaseWait,
        double fallMultiple,
        long fallWindow,
        double coldFrom,
        long warmUp,
        double setUpsPerSecond) {}

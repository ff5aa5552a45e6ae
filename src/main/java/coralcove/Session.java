package coralcove;

/**
 * A session handed to this router. {@code advice} is the number of a tandem, or -1; {@code number}
 * is the one called, 0 if not told; for a session in transit {@code farEnd} is its only way on.
 * {@code limit} is the moment its caller stops waiting.
 */
public record Session(
        long id,
        int service,
        int tenant,
        int farEnd,
        int width,
        int advice,
        boolean transit,
        long number,
        boolean redialled,
        boolean cut,
        long arrived,
        long limit) {}

package coralcove.exchange;

import coralcove.sip.Hop;
import java.util.List;
import java.util.Map;

/**
 * One stand-in exchange. {@code since} is the moment it started cold, 0 for warm long ago; {@code
 * groups} are its groups' circuits by the number at the other end. All times in µs.
 */
public record ExchangeSettings(
        int number,
        long id,
        Hop self,
        Hop edge,
        List<Hop> directories,
        Work work,
        List<Service> services,
        Callers callers,
        Rules rules,
        long since,
        Map<Integer, Integer> groups,
        int hotLines,
        long seed,
        String start) {

    /** The same exchange, started cold at {@code now}. */
    public ExchangeSettings startedAt(long now) {
        return new ExchangeSettings(
                number,
                id,
                self,
                edge,
                directories,
                work,
                services,
                callers,
                rules,
                now,
                groups,
                hotLines,
                seed,
                start);
    }

    /** What each step costs the processor, and past which wait it turns set-ups away. */
    public record Work(
            long look,
            long setUp,
            long answer,
            long release,
            long refuse,
            long repeat,
            long probe,
            long queueLimit,
            boolean tellsWait,
            long resend) {}

    /** A caller's view of a service. */
    public record Service(long target, long limit, double value, double lateValue, int width) {}

    /**
     * How callers repeat: share of the limit a try is given, redials, base wait, share that honours
     * a named one.
     */
    public record Callers(
            int redials, double tryShare, long backoff, double honour, boolean marksRedials) {}

    public record Rules(double fallMultiple, long fallWindow, double coldFrom, long warmUp) {}
}

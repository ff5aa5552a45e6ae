package coralcove.numbers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a session does about a number that may have moved: go by what is known, wait for the
 * portability server, or go to the donor exchange. It remembers answers, keeps one question out a
 * number, and stops asking a server that fails or is slow, so that no session loses its final
 * answer to it. No clock, wire or chance of its own.
 */
public final class Porting {
    /**
     * Times in µs. {@code budget} is the longest wait, and {@code share} the part of what the
     * caller has left that it may take; {@code staleFor} is how long past its lifetime an answer
     * serves when no newer one comes.
     */
    public record Settings(
            long budget, double share, long staleFor, int known, int unknown, int asked) {}

    /** What is to be done now. */
    public sealed interface Answer permits Goes, Wait, Donor {}

    /** Go by this: the routing number, or 0 for a number that has not moved. */
    public record Goes(long routing, boolean stale) implements Answer {}

    /**
     * Wait for the answer, at most until then; {@code ask} tells that the question must be sent
     * now.
     */
    public record Wait(long until, boolean ask) implements Answer {}

    /** Go to the donor exchange, for this reason. */
    public record Donor(String reason) implements Answer {}

    /** How a question ended; times to live in µs. */
    public enum Outcome {
        MOVED,
        NOT_MOVED,
        FAILED
    }

    /**
     * Failed or slow questions in a row that close the way to the server: chance losses rarely come
     * so.
     */
    private static final int FAILURES = 5;

    /** µs: an answer later than this is of no use to a session, and counts as a failure. */
    private static final long SLOW = 400_000;

    /** µs: the first pause after closing, and the longest; a restart takes some seconds. */
    private static final long PAUSE_FIRST = 500_000;

    private static final long PAUSE_LONGEST = 4_000_000;

    /**
     * µs: the wait for news of a number whose last answer is past its lifetime: a good server takes
     * less.
     */
    private static final long STALE_WAIT = 60_000;

    /**
     * µs: bounds of a lifetime: below, each session would ask; above, a move would not be seen for
     * days.
     */
    private static final long LIFE_LEAST = 1_000_000;

    private static final long LIFE_MOST = 86_400_000_000L;

    /**
     * µs: how long a number that the server does not know is remembered at most (RFC 2308 section
     * 5).
     */
    private static final long UNKNOWN_MOST = 600_000_000;

    /** µs: less than this is not worth waiting: a set-up needs what is left. */
    private static final long LEAST_WAIT = 5_000;

    private record Known(long routing, long until) {}

    /** A question that is out, and who waits for it. */
    private static final class Question {
        final long since;
        final boolean trial;
        final Set<Long> sessions = new LinkedHashSet<>();

        Question(long since, boolean trial) {
            this.since = since;
            this.trial = trial;
        }
    }

    private final Settings settings;
    private final Map<Long, Known> moved;

    /**
     * Apart, so that calls to numbers that do not exist cannot push out what is known of those that
     * do.
     */
    private final Map<Long, Known> still;

    private final Map<Long, Question> out = new LinkedHashMap<>();
    private int failures;
    private long closedUntil;
    private long pause = PAUSE_FIRST;
    private boolean trying;
    private long hits;
    private long questions;
    private long stales;
    private long donors;

    public Porting(Settings settings) {
        this.settings = settings;
        moved = bounded(settings.known);
        still = bounded(settings.unknown);
    }

    /** The one not used for longest goes first. */
    private static Map<Long, Known> bounded(int most) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Known> eldest) {
                return size() > most;
            }
        };
    }

    /** What a session does about a number; {@code left} µs are left to its caller. */
    public Answer ask(long now, long number, long session, long left) {
        Known known = known(number);
        if (known != null && now < known.until) {
            hits++;
            return new Goes(known.routing, false);
        }
        boolean stale = known != null && now < known.until + settings.staleFor;
        Question question = out.get(number);
        if (question == null && (closed(now) || out.size() >= settings.asked)) {
            return without(known, stale, closed(now) ? "server closed" : "too many questions");
        }
        long wait = Math.min(stale ? STALE_WAIT : settings.budget, (long) (left * settings.share));
        // Many wait for one question: who comes late waits no longer than the first would.
        long until =
                question == null
                        ? now + wait
                        : Math.min(now + wait, question.since + settings.budget);
        if (until - now < LEAST_WAIT) {
            return without(known, stale, "no time");
        }
        boolean ask = question == null;
        if (ask) {
            boolean trial = failures >= FAILURES;
            trying |= trial;
            question = new Question(now, trial);
            out.put(number, question);
            questions++;
        }
        question.sessions.add(session);
        return new Wait(until, ask);
    }

    /**
     * The wait of a session is over, by an answer or without one: it goes by what is known and
     * waits no more.
     */
    public Answer resume(long now, long number, long session) {
        Question question = out.get(number);
        if (question != null) {
            question.sessions.remove(session);
        }
        Known known = known(number);
        if (known != null && now < known.until) {
            return new Goes(known.routing, false);
        }
        return without(
                known, known != null && now < known.until + settings.staleFor, "no answer in time");
    }

    /** A session that waited is over. */
    public void gone(long number, long session) {
        Question question = out.get(number);
        if (question != null) {
            question.sessions.remove(session);
        }
    }

    /** A question has ended; the sessions given back can go on, in the order in which they came. */
    public List<Long> ended(long now, long number, Outcome outcome, long routing, long life) {
        Question question = out.remove(number);
        if (outcome != Outcome.FAILED) {
            long lives =
                    Math.max(
                            LIFE_LEAST,
                            Math.min(outcome == Outcome.MOVED ? LIFE_MOST : UNKNOWN_MOST, life));
            moved.remove(number);
            still.remove(number);
            (outcome == Outcome.MOVED ? moved : still)
                    .put(number, new Known(outcome == Outcome.MOVED ? routing : 0, now + lives));
        }
        if (question == null) {
            return List.of();
        }
        trying &= !question.trial;
        boolean good = outcome != Outcome.FAILED && now - question.since <= SLOW;
        if (good) {
            failures = 0;
            pause = PAUSE_FIRST;
            closedUntil = 0;
        } else if (++failures >= FAILURES && (failures == FAILURES || question.trial)) {
            closedUntil = now + pause;
            pause = Math.min(PAUSE_LONGEST, 2 * pause);
        }
        return new ArrayList<>(question.sessions);
    }

    /** Whether no question is sent now: the pause lasts, or the one trial after it is out. */
    public boolean closed(long now) {
        return failures >= FAILURES && (now < closedUntil || trying);
    }

    private Known known(long number) {
        Known known = moved.get(number);
        return known != null ? known : still.get(number);
    }

    private Answer without(Known known, boolean stale, String reason) {
        if (stale) {
            stales++;
            return new Goes(known.routing, true);
        }
        donors++;
        return new Donor(reason);
    }

    /**
     * Forgets answers that are of no use any more; asked now and then, as its time grows with what
     * is known.
     */
    public void sweep(long now) {
        for (Map<Long, Known> each : List.of(moved, still)) {
            for (Iterator<Known> it = each.values().iterator(); it.hasNext(); ) {
                if (it.next().until + settings.staleFor < now) {
                    it.remove();
                }
            }
        }
    }

    public int remembered() {
        return moved.size() + still.size();
    }

    public int out() {
        return out.size();
    }

    /** Answered from memory, questions sent, answered past their lifetime, sent to the donor. */
    public long[] counts() {
        return new long[] {hits, questions, stales, donors};
    }
}

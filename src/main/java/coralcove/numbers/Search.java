package coralcove.numbers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * One session's way from what was dialled to a far end, by the one table it began with. Asked for
 * the next step; a step that waits is taken again when the answer came or the wait is over. What it
 * found once stays: a retry goes to the same far end, though hours or tables have changed
 * meanwhile.
 */
public final class Search {
    /** What is to be done. */
    public sealed interface Step permits Route, Refused, Wait {}

    /**
     * The far end of the number that counts in the end; {@code until} is when hours may change the
     * answer.
     */
    public record Route(int farEnd, String number, long until) implements Step {}

    /** The final answer: status and reason, and the new number of a 410, "" with others. */
    public record Refused(int status, String reason, String number) implements Step {}

    /**
     * Wait until then at most, for this number; {@code ask} tells that the question must be sent
     * now.
     */
    public record Wait(long until, long number, boolean ask) implements Step {}

    /**
     * Questions to the portability server a session, at most: a number ported twice is real, more
     * is a loop.
     */
    private static final int MOST_QUESTIONS = 3;

    private final long session;
    private final String dialled;
    private final int service;
    private final long limit;
    private NumberTable table;
    private long number;

    /**
     * The donor of the number that was dialled, to which a circle leads back, and of the last
     * number found.
     */
    private int donor = -1;

    private int holder = -1;
    private long asked;
    private final Set<Long> seen = new HashSet<>();

    /**
     * Put into words only when they are asked for: sessions are searched for, and hardly ever
     * explained.
     */
    private final List<Supplier<String>> steps = new ArrayList<>();

    private Step found;

    /** {@code limit} is the moment by which the caller must have its answer, in µs. */
    public Search(NumberTable table, long session, String dialled, int service, long limit) {
        this.table = table;
        this.session = session;
        this.dialled = dialled;
        this.service = service;
        this.limit = limit;
    }

    public long version() {
        return table.version();
    }

    /** Why it goes where it goes, one line a step. */
    public List<String> steps() {
        return steps.stream().map(Supplier::get).toList();
    }

    /** Whether the far end or the refusal is known. */
    public boolean over() {
        return found != null;
    }

    /**
     * The table it began with was let go before it had an answer: it begins again with this one.
     */
    public void restart(NumberTable now) {
        table = now;
        number = 0;
        asked = 0;
        donor = -1;
        seen.clear();
        steps.add(() -> "table " + now.version() + " instead");
    }

    /** The next step; the same one for good once there is a route or a refusal. */
    public Step next(long now, Porting porting) {
        if (found != null) {
            return found;
        }
        if (number == 0) {
            NumberTable by = table;
            try {
                number = table.number(dialled);
            } catch (IllegalArgumentException e) {
                return refuse(
                        484, "Address Incomplete", "dialled " + dialled + " " + e.getMessage());
            }
            long meant = number;
            steps.add(
                    () ->
                            "dialled "
                                    + dialled
                                    + (by.rule(dialled) == null ? "" : ", rule " + by.rule(dialled))
                                    + ": number "
                                    + Digits.text(meant));
        }
        return asked != 0 ? questioned(now, porting) : looked(now, porting);
    }

    /** The wait is over, by an answer or without one. */
    public Step resume(long now, Porting porting) {
        if (found != null || asked == 0) {
            return next(now, porting);
        }
        return goOn(now, porting, porting.resume(now, asked, session));
    }

    /** The session is over: whatever waits for it is told. */
    public void gone(Porting porting) {
        if (found == null && asked != 0) {
            porting.gone(asked, session);
        }
    }

    private Step looked(long now, Porting porting) {
        long longest = table.trie().longest(number);
        if (longest == 0) {
            return refuse(404, "Not Found", "no prefix of " + Digits.text(number));
        }
        Destination to = table.destination((int) longest);
        long prefix = Digits.head(number, (int) (longest >>> 32));
        steps.add(() -> "prefix " + (prefix == 0 ? "*" : Digits.text(prefix)) + ": " + to.text());
        return follow(now, porting, to, Hours.NEVER);
    }

    private Step follow(long now, Porting porting, Destination to, long until) {
        if (to instanceof Destination.FarEnd far) {
            if (!far.services().isEmpty() && !far.services().contains(service)) {
                return refuse(403, "Forbidden", "service " + service + " is not carried to it");
            }
            steps.add(() -> "far end " + far.number());
            found = new Route(far.number(), Digits.text(number), until);
            return found;
        }
        if (to instanceof Destination.Changed changed) {
            found = new Refused(410, "Gone", changed.to());
            return found;
        }
        if (to instanceof Destination.Blocked) {
            return refuse(403, "Forbidden", "blocked");
        }
        if (to instanceof Destination.Ported ported) {
            donor = donor < 0 ? ported.donor() : donor;
            holder = ported.donor();
            if (!seen.add(number) || seen.size() > MOST_QUESTIONS) {
                holder = donor;
                return donor(
                        seen.size() > MOST_QUESTIONS ? "ported too often" : "ported in a circle");
            }
            asked = number;
            return questioned(now, porting);
        }
        if (to instanceof Destination.ByHours hours) {
            return byHours(now, porting, hours);
        }
        return refuse(404, "Not Found", "unallocated");
    }

    private Step byHours(long now, Porting porting, Destination.ByHours hours) {
        long until = Hours.NEVER;
        for (Destination.Choice choice : hours.choices()) {
            Hours calendar = table.calendars().get(choice.calendar());
            until = Math.min(until, calendar.change(now));
            if (calendar.open(now)) {
                steps.add(() -> "calendar " + choice.calendar() + " is open");
                return follow(now, porting, choice.to(), until);
            }
        }
        if (hours.otherwise() == null) {
            return refuse(480, "Temporarily Unavailable", "no calendar is open");
        }
        steps.add(() -> "no calendar is open");
        return follow(now, porting, hours.otherwise(), until);
    }

    private Step questioned(long now, Porting porting) {
        return goOn(now, porting, porting.ask(now, asked, session, limit - now));
    }

    private Step goOn(long now, Porting porting, Porting.Answer answer) {
        if (answer instanceof Porting.Wait wait) {
            return new Wait(wait.until(), asked, wait.ask());
        }
        if (answer instanceof Porting.Donor none) {
            return donor(none.reason());
        }
        Porting.Goes goes = (Porting.Goes) answer;
        asked = 0;
        if (goes.routing() == 0) {
            return donor("has not moved");
        }
        number = goes.routing();
        steps.add(
                () ->
                        "ported: routing number "
                                + Digits.text(goes.routing())
                                + (goes.stale() ? ", past its lifetime" : ""));
        return looked(now, porting);
    }

    private Step donor(String reason) {
        asked = 0;
        int to = holder;
        steps.add(() -> reason + ": donor, far end " + to);
        found = new Route(holder, Digits.text(number), Hours.NEVER);
        return found;
    }

    private Step refuse(int status, String reason, String why) {
        steps.add(() -> why + ": " + status);
        found = new Refused(status, reason, "");
        return found;
    }
}

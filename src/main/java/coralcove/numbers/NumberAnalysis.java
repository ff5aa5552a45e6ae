package coralcove.numbers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Number analysis of one session: finds the far end for a dialled number by the table with which
 * the session began. The caller asks for the next step; after a {@link Wait} it calls {@link
 * #resume} when the answer has arrived or the wait has timed out. The result is final: a retry is
 * routed to the same far end even if opening hours or tables have changed since.
 */
public final class NumberAnalysis {
    /** What the caller has to do next. */
    public sealed interface Step permits Route, Refused, Wait {}

    /**
     * Route to this far end; {@code number} is the number after porting, {@code until} when opening
     * hours may next change the result, in µs since 1970.
     */
    public record Route(int farEnd, String number, long until) implements Step {}

    /**
     * Refuse the call with this status and reason; {@code number} is the new number of a 410, ""
     * for other statuses.
     */
    public record Refused(int status, String reason, String number) implements Step {}

    /**
     * Wait for the portability server's answer about a number, until {@code deadline} at most;
     * {@code sendQuery} if the caller must send the query now.
     */
    public record Wait(long deadline, long number, boolean sendQuery) implements Step {}

    /**
     * Portability queries per session: a number ported twice occurs in practice, a longer chain is
     * a loop.
     */
    private static final int MAX_QUERIES = 3;

    private final long session;
    private final String dialled;
    private final int service;
    private final long deadline;
    private NumberTable table;
    private long number;

    /** The donor of the first ported number, used for loops; -1 for none yet. */
    private int firstDonor = -1;

    /** The donor of the latest ported number; -1 for none yet. */
    private int lastDonor = -1;

    /** The number whose portability is being looked up, 0 for none. */
    private long queriedNumber;

    private final Set<Long> queriedNumbers = new HashSet<>();

    /** Formatted only on request, as most sessions are never explained. */
    private final List<Supplier<String>> explanation = new ArrayList<>();

    private Step result;

    /** {@code deadline} is the time by which the caller must have its final answer, in µs. */
    public NumberAnalysis(
            NumberTable table, long session, String dialled, int service, long deadline) {
        this.table = table;
        this.session = session;
        this.dialled = dialled;
        this.service = service;
        this.deadline = deadline;
    }

    /** The version of the table in use. */
    public long tableVersion() {
        return table.version();
    }

    /** How the result came about, one line per step. */
    public List<String> explanation() {
        return explanation.stream().map(Supplier::get).toList();
    }

    /** Whether there is a final result. */
    public boolean isFinished() {
        return result != null;
    }

    /**
     * Starts again with another table, because the one in use was discarded before there was a
     * result.
     */
    public void restart(NumberTable newTable) {
        table = newTable;
        number = 0;
        queriedNumber = 0;
        firstDonor = -1;
        queriedNumbers.clear();
        explanation.add(() -> "restarted with table " + newTable.version());
    }

    /** The next step; once there is a route or a refusal, always that one. */
    public Step next(long now, PortabilityCache portability) {
        if (result != null) {
            return result;
        }
        if (number == 0) {
            NumberTable usedTable = table;
            try {
                number = table.toNumber(dialled);
            } catch (IllegalArgumentException e) {
                return reject(
                        484, "Address Incomplete", "dialled " + dialled + " " + e.getMessage());
            }
            long normalized = number;
            explanation.add(
                    () ->
                            "dialled "
                                    + dialled
                                    + (usedTable.ruleFor(dialled) == null
                                            ? ""
                                            : ", rule " + usedTable.ruleFor(dialled))
                                    + ": number "
                                    + Digits.unpack(normalized));
        }
        return queriedNumber != 0
                ? lookUpPortedNumber(now, portability)
                : lookUpPrefix(now, portability);
    }

    /** The next step after a wait that has ended with or without an answer. */
    public Step resume(long now, PortabilityCache portability) {
        if (result != null || queriedNumber == 0) {
            return next(now, portability);
        }
        return apply(now, portability, portability.resume(now, queriedNumber, session));
    }

    /** Ends the analysis, as the session has ended: stops waiting for the portability server. */
    public void cancel(PortabilityCache portability) {
        if (result == null && queriedNumber != 0) {
            portability.cancelWait(queriedNumber, session);
        }
    }

    private Step lookUpPrefix(long now, PortabilityCache portability) {
        long match = table.trie().longestPrefix(number);
        if (match == 0) {
            return reject(404, "Not Found", "no prefix of " + Digits.unpack(number));
        }
        Destination destination = table.destination((int) match);
        long prefix = Digits.prefix(number, (int) (match >>> 32));
        explanation.add(
                () ->
                        "prefix "
                                + (prefix == 0 ? "*" : Digits.unpack(prefix))
                                + ": "
                                + destination.toTableText());
        return follow(now, portability, destination, OpeningHours.NEVER);
    }

    private Step follow(
            long now, PortabilityCache portability, Destination destination, long until) {
        if (destination instanceof Destination.FarEnd far) {
            if (!far.services().isEmpty() && !far.services().contains(service)) {
                return reject(
                        403, "Forbidden", "service " + service + " is not carried to this far end");
            }
            explanation.add(() -> "far end " + far.number());
            result = new Route(far.number(), Digits.unpack(number), until);
            return result;
        }
        if (destination instanceof Destination.Changed changed) {
            result = new Refused(410, "Gone", changed.to());
            return result;
        }
        if (destination instanceof Destination.Blocked) {
            return reject(403, "Forbidden", "blocked");
        }
        if (destination instanceof Destination.Ported ported) {
            firstDonor = firstDonor < 0 ? ported.donor() : firstDonor;
            lastDonor = ported.donor();
            if (!queriedNumbers.add(number) || queriedNumbers.size() > MAX_QUERIES) {
                lastDonor = firstDonor;
                return routeToDonor(
                        queriedNumbers.size() > MAX_QUERIES
                                ? "number ported too many times"
                                : "porting loop");
            }
            queriedNumber = number;
            return lookUpPortedNumber(now, portability);
        }
        if (destination instanceof Destination.ByHours hours) {
            return byHours(now, portability, hours);
        }
        return reject(404, "Not Found", "unallocated");
    }

    private Step byHours(long now, PortabilityCache portability, Destination.ByHours hours) {
        long until = OpeningHours.NEVER;
        for (Destination.CalendarRoute route : hours.routes()) {
            OpeningHours calendar = table.calendars().get(route.calendar());
            until = Math.min(until, calendar.nextChange(now));
            if (calendar.isOpen(now)) {
                explanation.add(() -> "calendar " + route.calendar() + " is open");
                return follow(now, portability, route.destination(), until);
            }
        }
        if (hours.otherwise() == null) {
            return reject(480, "Temporarily Unavailable", "no calendar is open");
        }
        explanation.add(() -> "no calendar is open");
        return follow(now, portability, hours.otherwise(), until);
    }

    private Step lookUpPortedNumber(long now, PortabilityCache portability) {
        return apply(
                now, portability, portability.lookUp(now, queriedNumber, session, deadline - now));
    }

    private Step apply(long now, PortabilityCache portability, PortabilityCache.Decision decision) {
        if (decision instanceof PortabilityCache.Wait wait) {
            return new Wait(wait.deadline(), queriedNumber, wait.sendQuery());
        }
        if (decision instanceof PortabilityCache.UseDonor useDonor) {
            return routeToDonor(useDonor.reason());
        }
        PortabilityCache.Proceed proceed = (PortabilityCache.Proceed) decision;
        queriedNumber = 0;
        if (proceed.routingNumber() == 0) {
            return routeToDonor("not ported");
        }
        number = proceed.routingNumber();
        explanation.add(
                () ->
                        "ported: routing number "
                                + Digits.unpack(proceed.routingNumber())
                                + (proceed.stale() ? ", from an expired answer" : ""));
        return lookUpPrefix(now, portability);
    }

    private Step routeToDonor(String reason) {
        queriedNumber = 0;
        int donor = lastDonor;
        explanation.add(() -> reason + ": donor, far end " + donor);
        result = new Route(lastDonor, Digits.unpack(number), OpeningHours.NEVER);
        return result;
    }

    private Step reject(int status, String reason, String detail) {
        explanation.add(() -> detail + ": " + status);
        result = new Refused(status, reason, "");
        return result;
    }
}

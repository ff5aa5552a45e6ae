package coralcove.edge;

import coralcove.Exchange;
import coralcove.config.Hops;
import coralcove.dns.Locator;
import coralcove.dns.Questions;
import coralcove.protocol.ListingText;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.Timers;
import coralcove.sip.dialog.Agent;
import coralcove.sip.event.Subscriber;
import coralcove.sip.event.Subscription;
import coralcove.sources.Belief;
import coralcove.sources.Listing;
import coralcove.sources.Roster;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A router's subscriptions at its directories and at its own exchange: what they say is handed to
 * the {@link Roster}, and what that believes to the module. It decides nothing; when a directory is
 * asked anew the module says.
 */
final class RosterDesk implements Subscriber.User, Locator.Out {
    static final String EXCHANGES = "exchanges";
    static final String GROUPS = "trunk-groups";

    /**
     * Seconds a subscription lasts: a directory that has restarted is found out within half of
     * that.
     */
    private static final int LIFE = 12;

    /** µs until the own exchange is asked again for its groups, which it alone can tell. */
    private static final long GROUPS_AGAIN = 1_000_000;

    /** What the router does with news. */
    interface User {
        /** The roster has changed, by these lines. */
        void rostered(long now, List<Exchange> news);

        /** A subscription at a directory has ended; {@link RosterDesk#ask} is wanted some time. */
        void rosterLost(long now);

        /** A list of groups of the own exchange; false if it cannot be read. */
        boolean groups(long now, List<String> lines);
    }

    /** A machine's place: its exchange and the address of its router. */
    record Place(Exchange exchange, Hop edge) {}

    private final EdgeSettings settings;
    private final Agent agent;
    private final Timers timers;
    private final User user;
    private final Subscriber subscriber;
    private final Roster roster;
    private final Map<Integer, Subscription> asked = new HashMap<>();
    private final Map<String, Hop> hops = new HashMap<>();

    /** The numbers in the roster, also for the checks of tables on other threads. */
    private volatile Set<Integer> farEnds = Set.of();

    /** Null where nothing is kept. */
    private Consumer<List<Roster.Said>> keep;

    private Timers.Timer step;
    private Locator locator;
    private Timers.Timer look;
    private final List<String> said = new ArrayList<>();

    RosterDesk(
            EdgeSettings settings, Agent agent, Timers timers, User user, RandomGenerator chance) {
        this.settings = settings;
        this.agent = agent;
        this.timers = timers;
        this.user = user;
        subscriber = new Subscriber(agent, timers, chance, this);
        roster = new Roster(settings.directories().stream().map(Hop::toString).toList());
    }

    Subscriber subscriber() {
        return subscriber;
    }

    Roster roster() {
        return roster;
    }

    /**
     * Takes what was kept before this start, and hands what is to be kept to {@code to}; before the
     * start.
     */
    int resume(long now, List<Roster.Said> kept, Consumer<List<Roster.Said>> to) {
        keep = to;
        return roster.kept(now, kept);
    }

    void start(long now, Out out) {
        tell(now, out);
        askGroups(now, out);
    }

    private void askGroups(long now, Out out) {
        subscriber.subscribe(
                now,
                settings.exchange(),
                GROUPS,
                LIFE,
                -1,
                Integer.toString(settings.number()),
                out);
    }

    /** Asks each directory that is not asked already. */
    void ask(long now, Out out) {
        for (int i = 0; i < settings.directories().size(); i++) {
            Subscription it = asked.get(i);
            if (it == null || !it.stands()) {
                roster.begun(i);
                asked.put(
                        i,
                        subscriber.subscribe(
                                now,
                                settings.directories().get(i),
                                EXCHANGES,
                                LIFE,
                                i,
                                Integer.toString(settings.number()),
                                out));
            }
        }
    }

    @Override
    public Subscriber.News notified(long now, Subscription it, SipMessage notify, Out out) {
        if (it.event().equals(GROUPS)) {
            return user.groups(now, notify.text().lines().toList())
                    ? Subscriber.News.WHOLE
                    : Subscriber.News.BAD;
        }
        int source = (Integer) it.owner();
        Listing listing;
        try {
            listing = ListingText.read(notify.text());
        } catch (IllegalArgumentException e) {
            out.log("bad-list", "", it.to() + ": " + e.getMessage());
            return Subscriber.News.BAD;
        }
        Roster.Refusal refusal = roster.listed(now, source, listing);
        if (refusal != Roster.Refusal.NONE) {
            agent.count(
                    "list-" + refusal.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
            out.log("list-refused", "", it.to() + ": " + refusal);
            return Subscriber.News.BAD;
        }
        out.log(
                "list",
                "",
                it.to()
                        + " epoch "
                        + listing.epoch()
                        + " version "
                        + listing.version()
                        + " "
                        + listing.kind()
                        + " "
                        + listing.lines().size()
                        + " lines");
        boolean gap = askAgain(now, source, out);
        tell(now, out);
        return gap ? Subscriber.News.GAP : Subscriber.News.WHOLE;
    }

    /** Asks for whole lists where the roster wants them; whether {@code of} is among them. */
    private boolean askAgain(long now, int of, Out out) {
        boolean its = false;
        for (int i = 0; i < settings.directories().size(); i++) {
            Subscription it = asked.get(i);
            if (it != null && roster.wantsWhole(i)) {
                its |= i == of;
                subscriber.refresh(now, it, true, out);
            }
        }
        return its;
    }

    @Override
    public void renewed(long now, Subscription it, Out out) {
        if (it.event().equals(EXCHANGES)) {
            roster.renewed(now, (Integer) it.owner());
            tell(now, out);
        }
    }

    @Override
    public void ended(long now, Subscription it, String why, Out out) {
        if (it.event().equals(GROUPS)) {
            timers.set(now + GROUPS_AGAIN, this::askGroups);
        } else {
            out.log("directory-lost", "", it.to() + ": " + why);
            user.rosterLost(now);
        }
    }

    /** Takes DNS for a further source from now on. */
    void locate(
            long now, LocatorSettings of, Questions questions, Consumer<LocatorResult> results) {
        locator =
                new Locator(
                        of.numbers(),
                        of::name,
                        of.transport(),
                        of.chance(),
                        (name, type) ->
                                questions.ask(
                                        name,
                                        type,
                                        result ->
                                                results.accept(
                                                        new LocatorResult(name, type, result))),
                        this);
        locator.start(now);
        look = timers.set(now, this::look);
    }

    private void look(long now, Out out) {
        locator.tick(now);
        located(now, out);
    }

    /** An answer from a name server. */
    void found(long now, LocatorResult it, Out out) {
        locator.answered(now, it.name(), it.type(), it.result());
        located(now, out);
    }

    private void located(long now, Out out) {
        said.forEach(each -> out.log("dns", "", each));
        said.clear();
        timers.cancel(look);
        long due = locator.due();
        look = due == Long.MAX_VALUE ? null : timers.set(Math.max(now, due), this::look);
        tell(now, out);
    }

    @Override
    public void located(long now, int number, List<String> addresses, boolean stale) {
        // An INVITE for another that DNS sends here would come round to this router; IPv6 is spoken
        // over TCP only.
        roster.located(
                now,
                number,
                addresses.stream()
                        .filter(
                                each ->
                                        !each.substring(4)
                                                        .equals(
                                                                settings.self().host()
                                                                        + ":"
                                                                        + settings.self().port())
                                                && !each.startsWith("udp:["))
                        .toList(),
                stale);
    }

    @Override
    public void log(String event, String detail) {
        said.add(event + " " + detail);
    }

    /**
     * Tells the module what has changed in what is believed, and comes back when age alone will
     * change it.
     */
    private void tell(long now, Out out) {
        List<Exchange> news = roster.news(now);
        timers.cancel(step);
        long due = roster.due(now);
        step = due == Long.MAX_VALUE ? null : timers.set(due, this::tell);
        if (keep != null) {
            keep.accept(roster.said());
        }
        if (news.isEmpty()) {
            return;
        }
        farEnds = Set.copyOf(roster.numbers());
        user.rostered(now, news);
        List<String> words = new ArrayList<>();
        for (Exchange each : news) {
            Belief belief = roster.belief(each.id());
            words.add(each.id() + " " + each.phase() + (belief == null ? "" : " " + belief.why()));
        }
        out.log("roster", "", String.join(", ", words));
    }

    /** A machine's place; null where nothing is believed of it. */
    Place place(long id) {
        Belief belief = roster.belief(id);
        return belief == null ? null : new Place(belief.exchange(), edge(belief));
    }

    Hop edge(Belief belief) {
        return hops.computeIfAbsent(belief.address(), Hops::of);
    }

    Collection<Belief> beliefs() {
        return roster.beliefs();
    }

    Set<Integer> farEnds() {
        return farEnds;
    }
}

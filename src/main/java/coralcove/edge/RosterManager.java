package coralcove.edge;

import coralcove.Exchange;
import coralcove.config.AddressSettings;
import coralcove.dns.DnsQueryClient;
import coralcove.dns.ServiceLocator;
import coralcove.protocol.ExchangeListFormat;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TimerWheel;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.event.Subscriber;
import coralcove.sip.event.Subscription;
import coralcove.sources.DirectoryListing;
import coralcove.sources.Roster;
import coralcove.sources.RosterEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Manages a router's subscriptions to its directories and to its local exchange. It passes what the
 * directories and DNS report to the {@link Roster}, and changes of the roster to its listener. The
 * routing policy decides when a directory is subscribed to again.
 */
final class RosterManager implements Subscriber.Listener, ServiceLocator.Listener {
    static final String EXCHANGES_EVENT = "exchanges";
    static final String TRUNK_GROUPS_EVENT = "trunk-groups";

    /** Duration of a subscription: a directory's restart is detected within half of it. */
    private static final int SUBSCRIPTION_SECONDS = 12;

    /**
     * Delay before subscribing again to the local exchange, the only source of its trunk groups.
     */
    private static final long TRUNK_GROUPS_RETRY_MICROS = 1_000_000;

    /** Receives changes of the roster and of the trunk groups. */
    interface Listener {
        /** The state of these exchanges has changed in the roster. */
        void rosterChanged(long now, List<Exchange> changes);

        /**
         * A subscription to a directory has ended; {@link RosterManager#subscribe} must be called
         * at some later time.
         */
        void directorySubscriptionEnded(long now);

        /** The list of trunk groups of the local exchange; false if it cannot be parsed. */
        boolean trunkGroupsReceived(long now, List<String> lines);
    }

    /** An exchange and the address of its router. */
    record RouterLocation(Exchange exchange, TransportAddress router) {}

    private final EdgeSettings settings;
    private final UserAgent agent;
    private final TimerWheel timers;
    private final Listener listener;
    private final Subscriber subscriber;
    private final Roster roster;

    /** Subscriptions to directories, by the directory's index in the settings. */
    private final Map<Integer, Subscription> subscriptions = new HashMap<>();

    private final Map<String, TransportAddress> hopsByAddress = new HashMap<>();

    /** The numbers in the roster; also read by other threads that check number tables. */
    private volatile Set<Integer> farEnds = Set.of();

    /** Receives all reports after each update; null if they are not stored. */
    private Consumer<List<Roster.SourceReport>> reportSink;

    private TimerWheel.Timer authorityTimer;
    private ServiceLocator locator;
    private TimerWheel.Timer locatorTimer;
    private final List<String> locatorLogLines = new ArrayList<>();

    RosterManager(
            EdgeSettings settings,
            UserAgent agent,
            TimerWheel timers,
            Listener listener,
            RandomGenerator random) {
        this.settings = settings;
        this.agent = agent;
        this.timers = timers;
        this.listener = listener;
        subscriber = new Subscriber(agent, timers, random, this);
        roster =
                new Roster(
                        settings.directories().stream().map(TransportAddress::toString).toList());
    }

    Subscriber subscriber() {
        return subscriber;
    }

    Roster roster() {
        return roster;
    }

    /**
     * Restores the reports stored before this start, and sends all reports to {@code sink} from now
     * on. Must be called before {@link #start}.
     *
     * @return the number of reports used
     */
    int restore(
            long now, List<Roster.SourceReport> stored, Consumer<List<Roster.SourceReport>> sink) {
        reportSink = sink;
        return roster.restore(now, stored);
    }

    void start(long now, SipOutput out) {
        publishChanges(now, out);
        subscribeToTrunkGroups(now, out);
    }

    private void subscribeToTrunkGroups(long now, SipOutput out) {
        subscriber.subscribe(
                now,
                settings.exchangeAddress(),
                TRUNK_GROUPS_EVENT,
                SUBSCRIPTION_SECONDS,
                -1,
                Integer.toString(settings.number()),
                out);
    }

    /** Subscribes to every directory that has no subscription in force. */
    void subscribe(long now, SipOutput out) {
        for (int i = 0; i < settings.directories().size(); i++) {
            Subscription subscription = subscriptions.get(i);
            if (subscription == null || !subscription.isActive()) {
                roster.subscriptionStarted(i);
                subscriptions.put(
                        i,
                        subscriber.subscribe(
                                now,
                                settings.directories().get(i),
                                EXCHANGES_EVENT,
                                SUBSCRIPTION_SECONDS,
                                i,
                                Integer.toString(settings.number()),
                                out));
            }
        }
    }

    @Override
    public Subscriber.NotifyResult notifyReceived(
            long now, Subscription subscription, SipMessage notify, SipOutput out) {
        if (subscription.event().equals(TRUNK_GROUPS_EVENT)) {
            return listener.trunkGroupsReceived(now, notify.bodyText().lines().toList())
                    ? Subscriber.NotifyResult.COMPLETE
                    : Subscriber.NotifyResult.MALFORMED;
        }
        int source = (Integer) subscription.owner();
        DirectoryListing listing;
        try {
            listing = ExchangeListFormat.parse(notify.bodyText());
        } catch (IllegalArgumentException e) {
            out.log("bad-list", "", subscription.notifierAddress() + ": " + e.getMessage());
            return Subscriber.NotifyResult.MALFORMED;
        }
        Roster.ListingRejection rejection = roster.applyListing(now, source, listing);
        if (rejection != Roster.ListingRejection.NONE) {
            agent.incrementCounter(
                    "list-"
                            + rejection
                                    .name()
                                    .toLowerCase(java.util.Locale.ROOT)
                                    .replace('_', '-'));
            out.log("list-refused", "", subscription.notifierAddress() + ": " + rejection);
            return Subscriber.NotifyResult.MALFORMED;
        }
        out.log(
                "list",
                "",
                subscription.notifierAddress()
                        + " epoch "
                        + listing.epoch()
                        + " version "
                        + listing.version()
                        + " "
                        + listing.kind()
                        + " "
                        + listing.entries().size()
                        + " lines");
        boolean gap = refreshIncompleteLists(now, source, out);
        publishChanges(now, out);
        return gap ? Subscriber.NotifyResult.INCOMPLETE : Subscriber.NotifyResult.COMPLETE;
    }

    /**
     * Requests complete lists from the directories for which the roster wants one.
     *
     * @return whether {@code source} is among them
     */
    private boolean refreshIncompleteLists(long now, int source, SipOutput out) {
        boolean sourceRefreshed = false;
        for (int i = 0; i < settings.directories().size(); i++) {
            Subscription subscription = subscriptions.get(i);
            if (subscription != null && roster.pollCompleteListWanted(i)) {
                sourceRefreshed |= i == source;
                subscriber.refresh(now, subscription, true, out);
            }
        }
        return sourceRefreshed;
    }

    @Override
    public void subscriptionRenewed(long now, Subscription subscription, SipOutput out) {
        if (subscription.event().equals(EXCHANGES_EVENT)) {
            roster.listRenewed(now, (Integer) subscription.owner());
            publishChanges(now, out);
        }
    }

    @Override
    public void subscriptionEnded(
            long now, Subscription subscription, String reason, SipOutput out) {
        if (subscription.event().equals(TRUNK_GROUPS_EVENT)) {
            timers.schedule(now + TRUNK_GROUPS_RETRY_MICROS, this::subscribeToTrunkGroups);
        } else {
            out.log("directory-lost", "", subscription.notifierAddress() + ": " + reason);
            listener.directorySubscriptionEnded(now);
        }
    }

    /** Uses DNS as a further source from now on. */
    void startDnsDiscovery(
            long now,
            LocatorSettings locatorSettings,
            DnsQueryClient questions,
            Consumer<LocatorResult> results) {
        locator =
                new ServiceLocator(
                        locatorSettings.numbers(),
                        locatorSettings::name,
                        locatorSettings.transport(),
                        locatorSettings.random(),
                        (name, type) ->
                                questions.query(
                                        name,
                                        type,
                                        result ->
                                                results.accept(
                                                        new LocatorResult(name, type, result))),
                        this);
        locator.start(now);
        locatorTimer = timers.schedule(now, this::tickLocator);
    }

    private void tickLocator(long now, SipOutput out) {
        locator.tick(now);
        finishLocatorStep(now, out);
    }

    /** The result of a DNS query. */
    void dnsAnswered(long now, LocatorResult result, SipOutput out) {
        locator.queryCompleted(now, result.name(), result.type(), result.result());
        finishLocatorStep(now, out);
    }

    private void finishLocatorStep(long now, SipOutput out) {
        locatorLogLines.forEach(line -> out.log("dns", "", line));
        locatorLogLines.clear();
        timers.cancel(locatorTimer);
        long deadline = locator.nextTickAt();
        locatorTimer =
                deadline == Long.MAX_VALUE
                        ? null
                        : timers.schedule(Math.max(now, deadline), this::tickLocator);
        publishChanges(now, out);
    }

    @Override
    public void addressesFound(long now, int number, List<String> addresses, boolean stale) {
        // If DNS gave this router's address for another number, an INVITE to that number would loop
        // back here. IPv6 is supported over TCP only.
        roster.applyDnsAnswer(
                now,
                number,
                addresses.stream()
                        .filter(
                                address ->
                                        !address.substring(4)
                                                        .equals(
                                                                settings.listenAddress().host()
                                                                        + ":"
                                                                        + settings.listenAddress()
                                                                                .port())
                                                && !address.startsWith("udp:["))
                        .toList(),
                stale);
    }

    @Override
    public void log(String event, String detail) {
        locatorLogLines.add(event + " " + detail);
    }

    /**
     * Passes changes of the roster to the listener, and sets a timer for the time at which the age
     * of a list alone will change it.
     */
    private void publishChanges(long now, SipOutput out) {
        List<Exchange> changes = roster.pollChanges(now);
        timers.cancel(authorityTimer);
        long deadline = roster.nextAuthorityChange(now);
        authorityTimer =
                deadline == Long.MAX_VALUE ? null : timers.schedule(deadline, this::publishChanges);
        if (reportSink != null) {
            reportSink.accept(roster.reports());
        }
        if (changes.isEmpty()) {
            return;
        }
        farEnds = Set.copyOf(roster.numbers());
        listener.rosterChanged(now, changes);
        List<String> logItems = new ArrayList<>();
        for (Exchange exchange : changes) {
            RosterEntry entry = roster.entry(exchange.id());
            logItems.add(
                    exchange.id()
                            + " "
                            + exchange.phase()
                            + (entry == null ? "" : " " + entry.reason()));
        }
        out.log("roster", "", String.join(", ", logItems));
    }

    /** The location of the router of an exchange; null if the exchange is not in the roster. */
    RouterLocation locationOf(long exchangeId) {
        RosterEntry entry = roster.entry(exchangeId);
        return entry == null ? null : new RouterLocation(entry.exchange(), routerHop(entry));
    }

    TransportAddress routerHop(RosterEntry entry) {
        return hopsByAddress.computeIfAbsent(entry.routerAddress(), AddressSettings::parse);
    }

    Collection<RosterEntry> entries() {
        return roster.entries();
    }

    Set<Integer> farEnds() {
        return farEnds;
    }
}

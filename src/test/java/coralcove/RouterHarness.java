package coralcove;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Exchange.Phase;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Drives one router and records its decisions as a text trace. Exchanges 101, 102, ... have the
 * numbers 1, 2, ...; the local exchange has number 0 and id 100.
 */
final class RouterHarness {
    static final long MS = 1000;
    private final CallRouter router;
    private final Map<Long, Session> sessions = new HashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private long now = 1_000_000;

    RouterHarness() {
        this(4, 2);
    }

    /**
     * Creates a router for two services: 0 of low value (value 1, hold time 10 s) and 1 of high
     * value (value 4, hold time 5 s), both with one circuit and a post-dial target of 1 s.
     */
    RouterHarness(int inviteLimit, int routers) {
        this(inviteLimit, routers, false);
    }

    RouterHarness(int inviteLimit, int routers, boolean pools) {
        List<Settings.Service> services =
                List.of(
                        new Settings.Service(1_000_000, 1, 0.1, 1, 10_000_000, true, List.of(1, 2)),
                        new Settings.Service(1_000_000, 4, 0.1, 1, 5_000_000, true, List.of()));
        router =
                new ExponentialPenaltyRouter(
                        new Settings(
                                routers,
                                pools ? -1 : 0,
                                pools,
                                services,
                                inviteLimit,
                                true,
                                true,
                                2_000_000,
                                true,
                                true,
                                300_000,
                                2,
                                2_000_000,
                                0.3,
                                10_000_000),
                        new SplittableRandom(1));
    }

    RouterHarness exchanges(Phase phase, long since, int... numbers) {
        for (int number : numbers) {
            router.onExchangeList(
                    now, false, List.of(new Exchange(100 + number, number, phase, since)));
        }
        return this;
    }

    RouterHarness circuits(int number, int free, int size) {
        router.onCircuitUpdate(now, 100 + number, free, size);
        return this;
    }

    RouterHarness advance(long millis) {
        now += millis * MS;
        return this;
    }

    long now() {
        return now;
    }

    RoutingDecision call(long id, int service, int farEnd) {
        return call(
                new Session(
                        id,
                        service,
                        0,
                        farEnd,
                        1,
                        -1,
                        false,
                        0,
                        false,
                        false,
                        now,
                        now + 3_000_000));
    }

    /** Routes a session to far end 1 with a called number. */
    RoutingDecision dial(long id, long number, boolean redialled, boolean cut) {
        return call(
                new Session(
                        id, 0, 0, 1, 1, -1, false, number, redialled, cut, now, now + 3_000_000));
    }

    /** Routes a session for which a routing centre advised a tandem. */
    RoutingDecision callWithAdvice(long id, int farEnd, int tandem) {
        return call(
                new Session(
                        id, 0, 0, farEnd, 1, tandem, false, 0, false, false, now, now + 3_000_000));
    }

    RouterHarness peerMessage(int... body) {
        router.onPeerMessage(now, 1, bytes(body));
        return this;
    }

    RouterHarness directoryLost() {
        router.onExchangeListLost(now);
        return note("the directory's news is lost");
    }

    /** Notes the messages to peers and the subscription that the router requests. */
    RouterHarness pendingActions() {
        PendingActions actions = router.pendingActions(now);
        actions.broadcasts()
                .forEach(body -> note("tells all others " + HexFormat.of().formatHex(body)));
        return actions.subscribe() ? note("subscribes") : this;
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    RoutingDecision callInTransit(long id, int service, int farEnd) {
        return call(
                new Session(
                        id, service, 0, farEnd, 1, 7, true, 0, false, false, now, now + 3_000_000));
    }

    RoutingDecision call(Session session) {
        sessions.put(session.id(), session);
        return recordDecision(
                "session "
                        + session.id()
                        + " service "
                        + session.service()
                        + " to "
                        + session.farEnd()
                        + (session.transit() ? " in transit" : ""),
                router.route(now, session));
    }

    RoutingDecision routeAgain(long id) {
        return recordDecision("session " + id + " again", router.route(now, sessions.get(id)));
    }

    RoutingDecision outcome(long id, InviteOutcome outcome, RejectionCause cause, long took) {
        return outcome(id, outcome, cause, took, false);
    }

    RoutingDecision outcome(
            long id, InviteOutcome outcome, RejectionCause cause, long took, boolean over) {
        return recordDecision(
                "session " + id + " " + outcome + " " + cause + (over ? " over" : ""),
                router.onInviteOutcome(now, id, outcome, cause, 0, took * MS, 0, over));
    }

    RouterHarness ended(long id) {
        router.onSessionEnded(now, id);
        return this;
    }

    /**
     * Offers sessions at even intervals and notes how many were sent. The call of each one sent is
     * established at once, with a reported set-up time of 50 ms.
     */
    RouterHarness offerLoad(long from, int count, int service, int farEnd, long gapMillis) {
        return offerLoad(from, count, service, farEnd, gapMillis, 0);
    }

    /** The same with set-ups that take {@code took} ms, one after the other. */
    RouterHarness offerLoad(
            long from, int count, int service, int farEnd, long gapMillis, long took) {
        int sent = 0;
        for (long id = from; id < from + count; id++) {
            advance(gapMillis);
            int lengthBefore = trace.length();
            if (call(id, service, farEnd).kind() == RoutingDecision.Kind.SEND) {
                sent++;
                advance(took)
                        .outcome(
                                id,
                                InviteOutcome.ESTABLISHED,
                                RejectionCause.NONE,
                                took == 0 ? 50 : took);
            }
            trace.setLength(lengthBefore);
        }
        return note(
                count
                        + " sessions of service "
                        + service
                        + " to "
                        + farEnd
                        + ": "
                        + sent
                        + " sent");
    }

    RouterHarness note(String text) {
        trace.append(now / MS).append(" ms  ").append(text).append('\n');
        return this;
    }

    private RoutingDecision recordDecision(String event, RoutingDecision decision) {
        String text =
                switch (decision.kind()) {
                    case SEND ->
                            "send to "
                                    + decision.exchange()
                                    + ", limit "
                                    + decision.time() / MS
                                    + " ms";
                    case LATER -> "later, at " + decision.time() / MS + " ms";
                    case REFUSE -> "refuse, come back after " + decision.time() / MS + " ms";
                    case FAIL -> "fail";
                    case NOTHING -> "nothing";
                };
        note(event + " -> " + text);
        return decision;
    }

    void assertTrace(String name) {
        assertThat(trace.toString()).isEqualTo(readTrace(name));
    }

    static String readTrace(String name) {
        try (InputStream in = RouterHarness.class.getResourceAsStream("/traces/" + name + ".txt")) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

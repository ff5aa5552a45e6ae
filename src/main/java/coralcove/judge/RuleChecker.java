package coralcove.judge;

import coralcove.network.Network;
import coralcove.protocol.CallHeaders;
import coralcove.protocol.InviteOutcomes;
import coralcove.sip.MalformedMessageException;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.SipUri;
import coralcove.sip.TransportAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Checks the five rules from captured traffic alone: each message that a call router received or
 * sent, with its time in µs. Call routers are the nodes named {@code edge-N}. Pending sessions end
 * with {@link #routerKilled} or with the end of the capture.
 */
public final class RuleChecker implements Network.MessageObserver, ScenarioListener {
    /** Highest service accepted in a header; the settings of the routers are not known here. */
    private static final int MAX_SERVICES = 1000;

    /** Longest delay after a drain that the histogram resolves. */
    private static final long MAX_RECORDED_DELAY_MICROS = 3_600_000_000L;

    /** One session at one router, from the INVITE that the router received. */
    private static final class ObservedSession {
        final String node;
        final String sessionId;
        final long receivedAt;
        final long timeLeft;
        final boolean endsHere;
        boolean cancelled;
        int finalAnswers;
        String answer = "";
        long answeredAt;
        final List<SentInvite> invites = new ArrayList<>();

        /** The dialled number; null where the caller named the far end. */
        String dialledNumber;

        /** Far end of the first INVITE sent for the dialled number; null before that. */
        String firstFarEnd;

        ObservedSession(String node, String sessionId, long at, long left, boolean lines) {
            this.node = node;
            this.sessionId = sessionId;
            this.receivedAt = at;
            this.timeLeft = left;
            this.endsHere = lines;
        }
    }

    /** One INVITE that a router sent. */
    private static final class SentInvite {
        final long sentAt;
        final long timeLimit;
        long endedAt = Long.MAX_VALUE;
        boolean needsRelease;

        SentInvite(long at, long left) {
            this.sentAt = at;
            timeLimit = at + left;
        }

        long endTime() {
            return Math.min(endedAt, timeLimit);
        }

        /**
         * Whether the session must wait for the release before the next INVITE: this one ended by
         * time-out, reset or CANCEL.
         */
        boolean requiresReleaseWait() {
            return endedAt > timeLimit || needsRelease;
        }
    }

    /** What one router knows of one exchange, from all its directories together. */
    private static final class KnownExchange {
        int number;
        String address;
        long startNumber = -1;
        long startLearntAt;
        long heartbeat;
        long silentHeartbeat;
        boolean drainingOrLeft;
        boolean ready;
        long notReadyAt;

        /** µs from {@link #notReadyAt} to the last INVITE sent to it, -1 for none. */
        long lastInviteDelay = -1;

        /**
         * Applies one line of a list.
         *
         * @param silent the exchange is missing from a complete list, or marked silent, as of this
         *     heartbeat
         */
        void update(long now, long lineStart, long lineHeartbeat, boolean silent, boolean leaving) {
            if (lineStart < startNumber) {
                return;
            }
            if (lineStart > startNumber) {
                startNumber = lineStart;
                startLearntAt = now;
                heartbeat = -1;
                silentHeartbeat = -1;
                drainingOrLeft = false;
            }
            heartbeat = Math.max(heartbeat, lineHeartbeat);
            silentHeartbeat = silent ? Math.max(silentHeartbeat, lineHeartbeat) : silentHeartbeat;
            drainingOrLeft |= leaving;
            boolean running = !drainingOrLeft && silentHeartbeat < heartbeat;
            if (!running && (ready || notReadyAt == 0)) {
                notReadyAt = now;
            }
            ready = running;
        }
    }

    /**
     * A subscription that a router requested: only a NOTIFY within it changes what the router
     * knows.
     */
    private static final class Subscription {
        final TransportAddress peer;
        String remoteTag = "";
        long lastSequence = -1;

        /** Start number and heartbeat of each exchange in this directory's lists to the router. */
        final Map<Long, long[]> listed;

        Subscription(TransportAddress peer, Map<Long, long[]> listed) {
            this.peer = peer;
            this.listed = listed;
        }
    }

    /** A set-up that reached a cold exchange, and whether its router knew of the cold start. */
    private record ColdSetUp(long at, boolean startWasKnown) {}

    private final Rules rules;
    private final Map<String, ObservedSession> sessionsByCall = new HashMap<>();
    private final Map<String, ObservedSession> sessionsById = new LinkedHashMap<>();
    private final Map<String, SentInvite> invitesByCall = new HashMap<>();
    private final Map<String, Set<SentInvite>> invitesByStream = new HashMap<>();
    private final Map<String, Map<Long, KnownExchange>> knownExchanges = new HashMap<>();
    private final Map<String, Subscription> subscriptions = new HashMap<>();
    private final Map<String, Map<Long, long[]>> listedByDirectory = new HashMap<>();
    private final Map<String, Boolean> countedSetUps = new HashMap<>();
    private final Map<Integer, ArrayDeque<ColdSetUp>> coldSetUps = new HashMap<>();
    private final Map<Integer, Long> coldStarts = new HashMap<>();
    private final Map<String, RuleResult> verdicts = new LinkedHashMap<>();
    private AllowedFarEnds allowedFarEnds;
    private long malformed;

    /** Creates a checker of the five rules. */
    public RuleChecker(Rules rules) {
        this.rules = rules;
        for (String rule : List.of("final_answer", "one_invite", "drain", "cold", "release")) {
            verdicts.put(rule, new RuleResult(rule));
        }
    }

    /** Far ends that the number tables in service at a given time allow for a dialled number. */
    public interface AllowedFarEnds {
        Set<Integer> of(long at, String dialled);
    }

    /**
     * Checks a sixth rule too, {@code one_table}: all INVITEs for a dialled number go to one far
     * end, which a table gives that was in service when the session arrived.
     */
    public void checkNumberTables(AllowedFarEnds farEnds) {
        allowedFarEnds = farEnds;
        verdicts.put("one_table", new RuleResult("one_table"));
    }

    /** Results by the name of the rule. */
    public Map<String, RuleResult> verdicts() {
        return verdicts;
    }

    /**
     * Delays in µs from the notification of a router that an exchange is draining or gone to the
     * last INVITE that it sent there, 0 for none.
     */
    public Histogram inviteDelaysAfterDrain() {
        Histogram delays = new Histogram(MAX_RECORDED_DELAY_MICROS, 3);
        knownExchanges
                .values()
                .forEach(
                        list ->
                                list.values().stream()
                                        .filter(exchange -> !exchange.ready)
                                        .forEach(
                                                exchange ->
                                                        delays.recordValue(
                                                                Math.min(
                                                                        MAX_RECORDED_DELAY_MICROS,
                                                                        Math.max(
                                                                                0,
                                                                                exchange.lastInviteDelay)))));
        return delays;
    }

    /** Counts a captured message that cannot be parsed. Routers never send one themselves. */
    public void countMalformed() {
        malformed++;
    }

    /** Number of captured messages that could not be parsed. */
    public long malformedMessages() {
        return malformed;
    }

    @Override
    public void routerKilled(String node) {
        sessionsById.values().removeIf(session -> session.node.equals(node));
        sessionsByCall.values().removeIf(session -> session.node.equals(node));
        // What it knows of exchanges stays: a router stores that over a restart.
        subscriptions.keySet().removeIf(key -> key.startsWith(node + "|"));
    }

    @Override
    public void coldStarted(int number, long since) {
        coldStarts.put(number, since);
        coldSetUps.remove(number);
    }

    @Override
    public void onMessage(long now, String node, boolean out, TransportAddress peer, byte[] bytes) {
        SipMessage message;
        try {
            message = SipParser.parse(bytes, 0, bytes.length);
        } catch (MalformedMessageException e) {
            countMalformed();
            return;
        }
        read(now, node, out, peer, message);
    }

    /** Same as {@link #onMessage}, for a message that is already parsed. */
    public void read(
            long now, String node, boolean out, TransportAddress peer, SipMessage message) {
        switch (message.cseqMethod()) {
            case "INVITE" -> {
                if (message.isRequest()) {
                    if (message.toTag().isEmpty()) {
                        if (out) {
                            inviteSent(now, node, peer, message);
                        } else {
                            read(now, node, message);
                        }
                    }
                } else if (message.status() >= 200) {
                    if (out) {
                        finalAnswerSent(now, node, message);
                    } else {
                        inviteAnswered(now, node, message);
                    }
                }
            }
            case "CANCEL" -> cancelled(now, node, out, message);
            case "SUBSCRIBE" -> {
                if (out
                        && message.isRequest()
                        && message.toTag().isEmpty()
                        && message.header("Event", "").equals("exchanges")) {
                    subscriptions.putIfAbsent(
                            node + "|" + message.callId() + "|" + message.fromTag(),
                            new Subscription(
                                    peer,
                                    listedByDirectory.computeIfAbsent(
                                            node + "|" + peer, n -> new HashMap<>())));
                }
            }
            case "NOTIFY" -> {
                if (!out && message.isRequest()) {
                    notified(now, node, peer, message);
                }
            }
            default -> {}
        }
    }

    /**
     * Ends the INVITEs sent on a broken stream. If the connection was refused, they were never
     * sent.
     */
    @Override
    public void onStreamFailure(long now, String node, TransportAddress peer, boolean refused) {
        for (SentInvite sent : invitesByStream.getOrDefault(node + peer, Set.of())) {
            if (sent.endedAt == Long.MAX_VALUE) {
                sent.endedAt = now;
                sent.needsRelease = !refused;
            }
        }
        invitesByStream.remove(node + peer);
    }

    private static String key(String node, SipMessage message) {
        return node + "|" + message.callId();
    }

    private void read(long now, String node, SipMessage invite) {
        if (sessionsByCall.containsKey(key(node, invite))) {
            return;
        }
        CallHeaders headers;
        try {
            headers = CallHeaders.parse(invite, MAX_SERVICES);
        } catch (IllegalArgumentException e) {
            return;
        }
        int number = Integer.parseInt(node.substring(node.indexOf('-') + 1));
        String sessionId = invite.header("Session-ID", "");
        ObservedSession session =
                new ObservedSession(
                        node, sessionId, now, headers.timeLeft(), headers.farEnd() == number);
        session.dialledNumber = headers.farEnd() < 0 ? headers.number() : null;
        sessionsByCall.put(key(node, invite), session);
        sessionsById.put(node + "|" + sessionId, session);
        if (headers.origin() >= 0) {
            checkColdRule(now, node, number, headers.origin(), invite);
        }
    }

    private void finalAnswerSent(long now, String node, SipMessage response) {
        ObservedSession session = sessionsByCall.get(key(node, response));
        if (session == null) {
            return;
        }
        String answer = response.status() + response.toTag();
        if (answer.equals(session.answer)) {
            return;
        }
        session.finalAnswers++;
        if (session.finalAnswers == 1) {
            session.answer = answer;
            session.answeredAt = now;
        }
        if (session.finalAnswers > 1) {
            verdicts.get("final_answer")
                    .check(
                            false,
                            now,
                            node,
                            session.sessionId,
                            "a further final answer " + response.status());
        }
    }

    private void inviteSent(long now, String node, TransportAddress peer, SipMessage invite) {
        ObservedSession session = sessionsById.get(node + "|" + invite.header("Session-ID", ""));
        if (session == null) {
            return;
        }
        SentInvite known = invitesByCall.get(key(node, invite));
        RuleResult oneInvite = verdicts.get("one_invite");
        if (known != null) {
            // A retransmission after the end of an INVITE would make it active again beside the
            // next.
            // One that crosses its answer between socket and router does not, as long as the next
            // INVITE has not been sent.
            boolean crossed =
                    known.endedAt < known.timeLimit
                            && session.invites.get(session.invites.size() - 1) == known;
            oneInvite.check(
                    now <= known.endTime() + (crossed ? rules.answerGrace() : 0),
                    now,
                    node,
                    session.sessionId,
                    "an INVITE that is over is sent again");
            return;
        }
        if (allowedFarEnds != null && session.dialledNumber != null) {
            String farEnd = invite.header("X-Far-End", "-1");
            boolean first = session.firstFarEnd == null;
            session.firstFarEnd = first ? farEnd : session.firstFarEnd;
            verdicts.get("one_table")
                    .check(
                            first
                                    ? allowedFarEnds
                                            .of(session.receivedAt, session.dialledNumber)
                                            .contains(Integer.parseInt(farEnd))
                                    : session.firstFarEnd.equals(farEnd),
                            now,
                            node,
                            session.sessionId,
                            session.dialledNumber + " sent to far end " + farEnd);
        }
        long left = Long.parseLong(invite.header("X-Time-Left", "0").strip());
        SentInvite sent = new SentInvite(now, left);
        invitesByCall.put(key(node, invite), sent);
        if (peer.tcp()) {
            invitesByStream.computeIfAbsent(node + peer, p -> new LinkedHashSet<>()).add(sent);
        }
        if (session.finalAnswers > 0 || session.cancelled) {
            verdicts.get("final_answer")
                    .check(false, now, node, session.sessionId, "an INVITE after the final answer");
        }
        if (!session.invites.isEmpty()) {
            SentInvite previous = session.invites.get(session.invites.size() - 1);
            oneInvite.check(
                    now >= previous.endTime(), now, node, session.sessionId, "two INVITEs out");
            if (now >= previous.endTime() && previous.requiresReleaseWait()) {
                verdicts.get("release")
                        .check(
                                now >= previous.endTime() + rules.releaseWait(),
                                now,
                                node,
                                session.sessionId,
                                "sent again " + (now - previous.endTime()) + " us after the end");
            }
        } else {
            oneInvite.check(true, now, node, session.sessionId, "");
        }
        session.invites.add(sent);
        if (!session.endsHere) {
            checkDrainRule(now, node, session, invite);
        }
    }

    private void checkDrainRule(long now, String node, ObservedSession session, SipMessage invite) {
        SipUri route = SipUri.parse(invite.header("Route", ""));
        if (route == null || !route.user().matches("\\d{1,5}")) {
            return;
        }
        int number = Integer.parseInt(route.user());
        long last = Long.MIN_VALUE;
        boolean ready = false;
        boolean listed = false;
        for (KnownExchange exchange : knownExchanges.getOrDefault(node, Map.of()).values()) {
            if (exchange.number == number
                    && exchange.address.equals(route.transportAddress().toString())) {
                listed = true;
                ready |= exchange.ready;
                last = Math.max(last, exchange.notReadyAt);
            }
        }
        if (listed && !ready) {
            for (KnownExchange exchange : knownExchanges.get(node).values()) {
                if (exchange.number == number && exchange.notReadyAt == last) {
                    exchange.lastInviteDelay = Math.max(exchange.lastInviteDelay, now - last);
                }
            }
        }
        verdicts.get("drain")
                .check(
                        !listed || ready || now <= last + rules.drainGrace(),
                        now,
                        node,
                        session.sessionId,
                        "to " + number + " " + (now - last) + " us after it was exchange");
    }

    private void inviteAnswered(long now, String node, SipMessage response) {
        SentInvite sent = invitesByCall.get(key(node, response));
        if (sent != null && sent.endedAt == Long.MAX_VALUE) {
            sent.endedAt = now;
            int cause = InviteOutcomes.causeOf(response);
            sent.needsRelease =
                    response.status() == 408
                            || response.status() == 487
                            || cause == InviteOutcomes.NETWORK_OUT_OF_ORDER;
        }
    }

    private void cancelled(long now, String node, boolean out, SipMessage message) {
        if (!message.isRequest()) {
            return;
        }
        if (out) {
            SentInvite sent = invitesByCall.get(key(node, message));
            if (sent != null && sent.endedAt == Long.MAX_VALUE) {
                sent.endedAt = now;
                sent.needsRelease = true;
            }
        } else {
            ObservedSession session = sessionsByCall.get(key(node, message));
            if (session != null) {
                session.cancelled = true;
            }
        }
    }

    private void notified(long now, String node, TransportAddress peer, SipMessage notify) {
        Subscription subscription =
                subscriptions.get(node + "|" + notify.callId() + "|" + notify.toTag());
        if (subscription == null
                || !subscription.peer.host().equals(peer.host())
                || !peer.tcp() && peer.port() != subscription.peer.port()
                || !subscription.remoteTag.isEmpty()
                        && !subscription.remoteTag.equals(notify.fromTag())) {
            // Anyone can send a NOTIFY; this one does not come from a directory.
            return;
        }
        subscription.remoteTag = notify.fromTag();
        boolean inOrder = notify.cseqNumber() > subscription.lastSequence;
        subscription.lastSequence = Math.max(subscription.lastSequence, notify.cseqNumber());
        List<String> lines = notify.bodyText().lines().toList();
        Map<Long, KnownExchange> list = knownExchanges.computeIfAbsent(node, n -> new HashMap<>());
        Set<Long> present = new LinkedHashSet<>();
        for (String line : lines) {
            String[] parts = line.split(" ");
            if (parts.length != 7 || !parts[0].matches("\\d+")) {
                continue;
            }
            long id = Long.parseLong(parts[0]);
            long start = Long.parseLong(parts[3]);
            long beat = Long.parseLong(parts[4]);
            present.add(id);
            subscription.listed.put(id, new long[] {start, beat});
            KnownExchange exchange = list.computeIfAbsent(id, n -> new KnownExchange());
            exchange.number = Integer.parseInt(parts[1]);
            exchange.address = parts[6];
            exchange.update(
                    now,
                    start,
                    beat,
                    parts[2].equals("silent"),
                    parts[2].equals("draining") || parts[2].equals("left"));
        }
        if (inOrder && !lines.isEmpty() && lines.get(0).endsWith(" whole")) {
            subscription.listed.forEach(
                    (id, last) -> {
                        if (!present.contains(id)) {
                            list.get(id).update(now, last[0], last[1], true, false);
                        }
                    });
        }
    }

    /**
     * Checks rule 4 with a budget per window: the set-ups that reached a cold exchange must not
     * exceed its capacity then.
     */
    private void checkColdRule(long now, String node, int number, int origin, SipMessage invite) {
        long since = coldStarts.getOrDefault(number, 0L);
        long age = now - since;
        if (since <= 0
                || age < 0
                || age >= rules.warmUp()
                || countedSetUps.putIfAbsent(key(node, invite), true) != null) {
            return;
        }
        ArrayDeque<ColdSetUp> window = coldSetUps.computeIfAbsent(number, n -> new ArrayDeque<>());
        boolean startWasKnown =
                knownExchanges.getOrDefault("edge-" + origin, Map.of()).values().stream()
                        .anyMatch(
                                known ->
                                        known.number == number
                                                && known.startNumber == since
                                                && known.startLearntAt <= now);
        window.add(new ColdSetUp(now, startWasKnown));
        while (window.peek().at <= now - rules.overloadWindow()) {
            window.poll();
        }
        double capacity =
                rules.coldCapacityShare() + (1 - rules.coldCapacityShare()) * age / rules.warmUp();
        double budget =
                rules.overloadMultiple()
                        * capacity
                        * rules.setUpsPerSecond()
                        * rules.overloadWindow()
                        / 1e6;
        long informed = window.stream().filter(ColdSetUp::startWasKnown).count();
        boolean passed = window.size() <= budget || informed * 3 < window.size() * 2L;
        verdicts.get("cold")
                .check(
                        passed,
                        now,
                        node,
                        invite.header("Session-ID", ""),
                        window.size()
                                + " set-ups to a cold exchange that can bear "
                                + (long) budget);
    }

    /**
     * Ends the capture: every session whose time limit has passed must have been answered in time.
     */
    public void finish(long now) {
        RuleResult verdict = verdicts.get("final_answer");
        for (ObservedSession session : sessionsByCall.values()) {
            long limit = session.receivedAt + session.timeLeft + rules.answerGrace();
            if (session.finalAnswers == 0 && (limit > now || session.cancelled)) {
                continue;
            }
            boolean passed = session.finalAnswers > 0 && session.answeredAt <= limit;
            verdict.check(
                    passed,
                    session.finalAnswers == 0 ? now : session.answeredAt,
                    session.node,
                    session.sessionId,
                    session.finalAnswers == 0
                            ? "no final answer"
                            : "answered " + (session.answeredAt - limit) + " us too late");
        }
    }
}

package coralcove.judge;

import coralcove.network.Network;
import coralcove.protocol.CallHeaders;
import coralcove.protocol.Outcomes;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.SipUri;
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
 * Judges the five rules from captured traffic alone: each message that a call router read or wrote,
 * with its time. Call routers are the nodes named {@code edge-N}; {@link #killed} and the end of
 * the capture close what is open.
 */
public final class Judge implements Network.Tap, Witness {
    /** Services a header may name; the judge holds no settings of the routers. */
    private static final int SERVICES = 1000;

    /** µs: the longest time after a drain that is told apart. */
    private static final long LONGEST_SENT = 3_600_000_000L;

    /** One session at one router, from the INVITE it read. */
    private static final class Seen {
        final String node;
        final String sessionId;
        final long at;
        final long left;
        final boolean lines;
        boolean cancelled;
        int finals;
        String answer = "";
        long answeredAt;
        final List<Sent> sent = new ArrayList<>();

        /**
         * What was dialled, and the far end of the first INVITE sent for it; null where the far end
         * was told.
         */
        String dialled;

        String farEnd;

        Seen(String node, String sessionId, long at, long left, boolean lines) {
            this.node = node;
            this.sessionId = sessionId;
            this.at = at;
            this.left = left;
            this.lines = lines;
        }
    }

    /** One INVITE that a router wrote. */
    private static final class Sent {
        final long at;
        final long until;
        long endedAt = Long.MAX_VALUE;
        boolean waits;

        Sent(long at, long left) {
            this.at = at;
            until = at + left;
        }

        long over() {
            return Math.min(endedAt, until);
        }

        /** Whether the session must wait for the release: it ended by time, reset or cancel. */
        boolean mustWait() {
            return endedAt > until || waits;
        }
    }

    /** What one router has been told of one machine, by all its directories together. */
    private static final class Told {
        int number;
        String address;
        long start = -1;
        long startAt;
        long beat;
        long quiet;
        boolean off;
        boolean ready;
        long notReadyAt;

        /** µs from then to the last INVITE sent to it, -1 for none. */
        long lastSent = -1;

        /** {@code missed}: a list lacks it, or a line calls it silent, as of this sign of life. */
        void said(long now, long ofStart, long ofBeat, boolean missed, boolean drainsOrLeft) {
            if (ofStart < start) {
                return;
            }
            if (ofStart > start) {
                start = ofStart;
                startAt = now;
                beat = -1;
                quiet = -1;
                off = false;
            }
            beat = Math.max(beat, ofBeat);
            quiet = missed ? Math.max(quiet, ofBeat) : quiet;
            off |= drainsOrLeft;
            boolean runs = !off && quiet < beat;
            if (!runs && (ready || notReadyAt == 0)) {
                notReadyAt = now;
            }
            ready = runs;
        }
    }

    /**
     * A subscription that a router has asked for: only a NOTIFY within it tells the router
     * anything.
     */
    private static final class Asked {
        final Hop peer;
        String tag = "";
        long sequence = -1;

        /** What this directory's lists have said to the router, of whom: start and sign of life. */
        final Map<Long, long[]> named;

        Asked(Hop peer, Map<Long, long[]> named) {
            this.peer = peer;
            this.named = named;
        }
    }

    private record Arrived(long at, boolean told) {}

    private final Rules rules;
    private final Map<String, Seen> byCall = new HashMap<>();
    private final Map<String, Seen> bySession = new LinkedHashMap<>();
    private final Map<String, Sent> sentByCall = new HashMap<>();
    private final Map<String, Set<Sent>> open = new HashMap<>();
    private final Map<String, Map<Long, Told>> lists = new HashMap<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, Map<Long, long[]>> named = new HashMap<>();
    private final Map<String, Boolean> setUps = new HashMap<>();
    private final Map<Integer, ArrayDeque<Arrived>> cold = new HashMap<>();
    private final Map<Integer, Long> starts = new HashMap<>();
    private final Map<String, Verdict> verdicts = new LinkedHashMap<>();
    private FarEnds farEnds;
    private long unreadable;

    public Judge(Rules rules) {
        this.rules = rules;
        for (String rule : List.of("final_answer", "one_invite", "drain", "cold", "release")) {
            verdicts.put(rule, new Verdict(rule));
        }
    }

    /** Far ends that any one table in service then gives what was dialled at this moment. */
    public interface FarEnds {
        Set<Integer> of(long at, String dialled);
    }

    /**
     * Judges a sixth rule, {@code one_table}: all INVITEs of a session that was dialled go to one
     * far end, which one table gives that was in service when it came.
     */
    public void numbers(FarEnds known) {
        farEnds = known;
        verdicts.put("one_table", new Verdict("one_table"));
    }

    public Map<String, Verdict> verdicts() {
        return verdicts;
    }

    /**
     * µs from a router's being told that a machine drains or is gone to the last INVITE it sent
     * there, 0 for none.
     */
    public Histogram lastSent() {
        Histogram all = new Histogram(LONGEST_SENT, 3);
        lists.values()
                .forEach(
                        list ->
                                list.values().stream()
                                        .filter(told -> !told.ready)
                                        .forEach(
                                                told ->
                                                        all.recordValue(
                                                                Math.min(
                                                                        LONGEST_SENT,
                                                                        Math.max(
                                                                                0,
                                                                                told.lastSent)))));
        return all;
    }

    /** A captured message could not be read; a router's own are never among them. */
    public void unreadable() {
        unreadable++;
    }

    /** How many could not. */
    public long unreadables() {
        return unreadable;
    }

    @Override
    public void killed(String node) {
        bySession.values().removeIf(seen -> seen.node.equals(node));
        byCall.values().removeIf(seen -> seen.node.equals(node));
        // What it was told holds: a router keeps that over its restart.
        asked.keySet().removeIf(key -> key.startsWith(node + "|"));
    }

    @Override
    public void started(int number, long since) {
        starts.put(number, since);
        cold.remove(number);
    }

    @Override
    public void message(long now, String node, boolean out, Hop peer, byte[] bytes) {
        SipMessage message;
        try {
            message = SipParser.parse(bytes, 0, bytes.length);
        } catch (BadMessage e) {
            unreadable();
            return;
        }
        read(now, node, out, peer, message);
    }

    /** The same for a message that was read already. */
    public void read(long now, String node, boolean out, Hop peer, SipMessage message) {
        switch (message.cseqMethod()) {
            case "INVITE" -> {
                if (message.isRequest()) {
                    if (message.toTag().isEmpty()) {
                        if (out) {
                            sent(now, node, peer, message);
                        } else {
                            read(now, node, message);
                        }
                    }
                } else if (message.status() >= 200) {
                    if (out) {
                        answered(now, node, message);
                    } else {
                        settled(now, node, message);
                    }
                }
            }
            case "CANCEL" -> cancelled(now, node, out, message);
            case "SUBSCRIBE" -> {
                if (out
                        && message.isRequest()
                        && message.toTag().isEmpty()
                        && message.header("Event", "").equals("exchanges")) {
                    asked.putIfAbsent(
                            node + "|" + message.callId() + "|" + message.fromTag(),
                            new Asked(
                                    peer,
                                    named.computeIfAbsent(
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
     * INVITEs that a broken stream carried are over; one whose stream was refused was never
     * written.
     */
    @Override
    public void broken(long now, String node, Hop peer, boolean refused) {
        for (Sent sent : open.getOrDefault(node + peer, Set.of())) {
            if (sent.endedAt == Long.MAX_VALUE) {
                sent.endedAt = now;
                sent.waits = !refused;
            }
        }
        open.remove(node + peer);
    }

    private static String key(String node, SipMessage message) {
        return node + "|" + message.callId();
    }

    private void read(long now, String node, SipMessage invite) {
        if (byCall.containsKey(key(node, invite))) {
            return;
        }
        CallHeaders headers;
        try {
            headers = CallHeaders.of(invite, SERVICES);
        } catch (IllegalArgumentException e) {
            return;
        }
        int number = Integer.parseInt(node.substring(node.indexOf('-') + 1));
        String sessionId = invite.header("Session-ID", "");
        Seen seen = new Seen(node, sessionId, now, headers.left(), headers.farEnd() == number);
        seen.dialled = headers.farEnd() < 0 ? headers.number() : null;
        byCall.put(key(node, invite), seen);
        bySession.put(node + "|" + sessionId, seen);
        if (headers.origin() >= 0) {
            arrived(now, node, number, headers.origin(), invite);
        }
    }

    private void answered(long now, String node, SipMessage response) {
        Seen seen = byCall.get(key(node, response));
        if (seen == null) {
            return;
        }
        String answer = response.status() + response.toTag();
        if (answer.equals(seen.answer)) {
            return;
        }
        seen.finals++;
        if (seen.finals == 1) {
            seen.answer = answer;
            seen.answeredAt = now;
        }
        if (seen.finals > 1) {
            verdicts.get("final_answer")
                    .check(
                            false,
                            now,
                            node,
                            seen.sessionId,
                            "a further final answer " + response.status());
        }
    }

    private void sent(long now, String node, Hop peer, SipMessage invite) {
        Seen seen = bySession.get(node + "|" + invite.header("Session-ID", ""));
        if (seen == null) {
            return;
        }
        Sent known = sentByCall.get(key(node, invite));
        Verdict one = verdicts.get("one_invite");
        if (known != null) {
            // A repeat of the same INVITE, once it is over, would put it out again beside the next.
            // One that crosses its
            // answer between socket and router does not, as long as the next has not been sent.
            boolean crossed =
                    known.endedAt < known.until && seen.sent.get(seen.sent.size() - 1) == known;
            one.check(
                    now <= known.over() + (crossed ? rules.answerGrace() : 0),
                    now,
                    node,
                    seen.sessionId,
                    "an INVITE that is over is sent again");
            return;
        }
        if (farEnds != null && seen.dialled != null) {
            String farEnd = invite.header("X-Far-End", "-1");
            boolean first = seen.farEnd == null;
            seen.farEnd = first ? farEnd : seen.farEnd;
            verdicts.get("one_table")
                    .check(
                            first
                                    ? farEnds.of(seen.at, seen.dialled)
                                            .contains(Integer.parseInt(farEnd))
                                    : seen.farEnd.equals(farEnd),
                            now,
                            node,
                            seen.sessionId,
                            seen.dialled + " sent to far end " + farEnd);
        }
        long left = Long.parseLong(invite.header("X-Time-Left", "0").strip());
        Sent sent = new Sent(now, left);
        sentByCall.put(key(node, invite), sent);
        if (peer.tcp()) {
            open.computeIfAbsent(node + peer, p -> new LinkedHashSet<>()).add(sent);
        }
        if (seen.finals > 0 || seen.cancelled) {
            verdicts.get("final_answer")
                    .check(false, now, node, seen.sessionId, "an INVITE after the final answer");
        }
        if (!seen.sent.isEmpty()) {
            Sent last = seen.sent.get(seen.sent.size() - 1);
            one.check(now >= last.over(), now, node, seen.sessionId, "two INVITEs out");
            if (now >= last.over() && last.mustWait()) {
                verdicts.get("release")
                        .check(
                                now >= last.over() + rules.releaseWait(),
                                now,
                                node,
                                seen.sessionId,
                                "sent again " + (now - last.over()) + " us after the end");
            }
        } else {
            one.check(true, now, node, seen.sessionId, "");
        }
        seen.sent.add(sent);
        if (!seen.lines) {
            drained(now, node, seen, invite);
        }
    }

    private void drained(long now, String node, Seen seen, SipMessage invite) {
        SipUri route = SipUri.of(invite.header("Route", ""));
        if (route == null || !route.user().matches("\\d{1,5}")) {
            return;
        }
        int number = Integer.parseInt(route.user());
        long last = Long.MIN_VALUE;
        boolean ready = false;
        boolean listed = false;
        for (Told told : lists.getOrDefault(node, Map.of()).values()) {
            if (told.number == number && told.address.equals(route.hop().toString())) {
                listed = true;
                ready |= told.ready;
                last = Math.max(last, told.notReadyAt);
            }
        }
        if (listed && !ready) {
            for (Told told : lists.get(node).values()) {
                if (told.number == number && told.notReadyAt == last) {
                    told.lastSent = Math.max(told.lastSent, now - last);
                }
            }
        }
        verdicts.get("drain")
                .check(
                        !listed || ready || now <= last + rules.drainGrace(),
                        now,
                        node,
                        seen.sessionId,
                        "to " + number + " " + (now - last) + " us after it was told");
    }

    private void settled(long now, String node, SipMessage response) {
        Sent sent = sentByCall.get(key(node, response));
        if (sent != null && sent.endedAt == Long.MAX_VALUE) {
            sent.endedAt = now;
            int cause = Outcomes.cause(response);
            sent.waits =
                    response.status() == 408 || response.status() == 487 || cause == Outcomes.CUT;
        }
    }

    private void cancelled(long now, String node, boolean out, SipMessage message) {
        if (!message.isRequest()) {
            return;
        }
        if (out) {
            Sent sent = sentByCall.get(key(node, message));
            if (sent != null && sent.endedAt == Long.MAX_VALUE) {
                sent.endedAt = now;
                sent.waits = true;
            }
        } else {
            Seen seen = byCall.get(key(node, message));
            if (seen != null) {
                seen.cancelled = true;
            }
        }
    }

    private void notified(long now, String node, Hop peer, SipMessage notify) {
        Asked in = asked.get(node + "|" + notify.callId() + "|" + notify.toTag());
        if (in == null
                || !in.peer.host().equals(peer.host())
                || !peer.tcp() && peer.port() != in.peer.port()
                || !in.tag.isEmpty() && !in.tag.equals(notify.fromTag())) {
            // Anyone can send one; this is no word of a directory.
            return;
        }
        in.tag = notify.fromTag();
        boolean inOrder = notify.sequence() > in.sequence;
        in.sequence = Math.max(in.sequence, notify.sequence());
        List<String> lines = notify.text().lines().toList();
        Map<Long, Told> list = lists.computeIfAbsent(node, n -> new HashMap<>());
        Set<Long> here = new LinkedHashSet<>();
        for (String line : lines) {
            String[] parts = line.split(" ");
            if (parts.length != 7 || !parts[0].matches("\\d+")) {
                continue;
            }
            long id = Long.parseLong(parts[0]);
            long start = Long.parseLong(parts[3]);
            long beat = Long.parseLong(parts[4]);
            here.add(id);
            in.named.put(id, new long[] {start, beat});
            Told told = list.computeIfAbsent(id, n -> new Told());
            told.number = Integer.parseInt(parts[1]);
            told.address = parts[6];
            told.said(
                    now,
                    start,
                    beat,
                    parts[2].equals("silent"),
                    parts[2].equals("draining") || parts[2].equals("left"));
        }
        if (inOrder && !lines.isEmpty() && lines.get(0).endsWith(" whole")) {
            in.named.forEach(
                    (id, last) -> {
                        if (!here.contains(id)) {
                            list.get(id).said(now, last[0], last[1], true, false);
                        }
                    });
        }
    }

    /**
     * Rule 4, by a budget for every window: what reached a cold exchange against what it could do
     * then.
     */
    private void arrived(long now, String node, int number, int origin, SipMessage invite) {
        long since = starts.getOrDefault(number, 0L);
        long age = now - since;
        if (since <= 0
                || age < 0
                || age >= rules.warmUp()
                || setUps.putIfAbsent(key(node, invite), true) != null) {
            return;
        }
        ArrayDeque<Arrived> window = cold.computeIfAbsent(number, n -> new ArrayDeque<>());
        boolean told =
                lists.getOrDefault("edge-" + origin, Map.of()).values().stream()
                        .anyMatch(t -> t.number == number && t.start == since && t.startAt <= now);
        window.add(new Arrived(now, told));
        while (window.peek().at <= now - rules.fallWindow()) {
            window.poll();
        }
        double capacity = rules.coldFrom() + (1 - rules.coldFrom()) * age / rules.warmUp();
        double budget =
                rules.fallMultiple()
                        * capacity
                        * rules.setUpsPerSecond()
                        * rules.fallWindow()
                        / 1e6;
        long knowing = window.stream().filter(Arrived::told).count();
        boolean kept = window.size() <= budget || knowing * 3 < window.size() * 2L;
        verdicts.get("cold")
                .check(
                        kept,
                        now,
                        node,
                        invite.header("Session-ID", ""),
                        window.size()
                                + " set-ups to a cold exchange that can bear "
                                + (long) budget);
    }

    /**
     * Closes the capture: every session whose time has run out by then must have had its answer in
     * time.
     */
    public void end(long now) {
        Verdict verdict = verdicts.get("final_answer");
        for (Seen seen : byCall.values()) {
            long limit = seen.at + seen.left + rules.answerGrace();
            if (seen.finals == 0 && (limit > now || seen.cancelled)) {
                continue;
            }
            boolean kept = seen.finals > 0 && seen.answeredAt <= limit;
            verdict.check(
                    kept,
                    seen.finals == 0 ? now : seen.answeredAt,
                    seen.node,
                    seen.sessionId,
                    seen.finals == 0
                            ? "no final answer"
                            : "answered " + (seen.answeredAt - limit) + " us too late");
        }
    }
}

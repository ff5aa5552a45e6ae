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
 * One router at its desk: exchanges 101, 102, ... carry the numbers 1, 2, ...; the own one is
 * number 0, id 100.
 */
final class Desk {
    static final long MS = 1000;
    private final CallRouter router;
    private final Map<Long, Session> sessions = new HashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private long now = 1_000_000;

    Desk() {
        this(4, 2);
    }

    /**
     * Two services: 0 plain (value 1, hold 10 s), 1 dear (value 4, hold 5 s); both one circuit,
     * target 1 s.
     */
    Desk(int inviteLimit, int routers) {
        this(inviteLimit, routers, false);
    }

    Desk(int inviteLimit, int routers, boolean pools) {
        List<Settings.Service> services =
                List.of(
                        new Settings.Service(1_000_000, 1, 0.1, 1, 10_000_000, true, List.of(1, 2)),
                        new Settings.Service(1_000_000, 4, 0.1, 1, 5_000_000, true, List.of()));
        router =
                new Choice(
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

    Desk roster(Phase phase, long since, int... numbers) {
        for (int number : numbers) {
            router.roster(now, false, List.of(new Exchange(100 + number, number, phase, since)));
        }
        return this;
    }

    Desk circuits(int number, int free, int size) {
        router.circuits(now, 100 + number, free, size);
        return this;
    }

    Desk pass(long millis) {
        now += millis * MS;
        return this;
    }

    long now() {
        return now;
    }

    Answer call(long id, int service, int farEnd) {
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

    /** A session to far end 1 that names the number it calls. */
    Answer dial(long id, long number, boolean redialled, boolean cut) {
        return call(
                new Session(
                        id, 0, 0, 1, 1, -1, false, number, redialled, cut, now, now + 3_000_000));
    }

    Answer advised(long id, int farEnd, int tandem) {
        return call(
                new Session(
                        id, 0, 0, farEnd, 1, tandem, false, 0, false, false, now, now + 3_000_000));
    }

    Desk peer(int... body) {
        router.peer(now, 1, bytes(body));
        return this;
    }

    Desk lost() {
        router.rosterLost(now);
        return note("the directory's news is lost");
    }

    Desk tells() {
        Waiting waiting = router.waiting(now);
        waiting.broadcasts()
                .forEach(body -> note("tells all others " + HexFormat.of().formatHex(body)));
        return waiting.subscribe() ? note("subscribes") : this;
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    Answer transit(long id, int service, int farEnd) {
        return call(
                new Session(
                        id, service, 0, farEnd, 1, 7, true, 0, false, false, now, now + 3_000_000));
    }

    Answer call(Session session) {
        sessions.put(session.id(), session);
        return say(
                "session "
                        + session.id()
                        + " service "
                        + session.service()
                        + " to "
                        + session.farEnd()
                        + (session.transit() ? " in transit" : ""),
                router.route(now, session));
    }

    Answer again(long id) {
        return say("session " + id + " again", router.route(now, sessions.get(id)));
    }

    Answer after(long id, Ending ending, Cause cause, long took) {
        return after(id, ending, cause, took, false);
    }

    Answer after(long id, Ending ending, Cause cause, long took, boolean over) {
        return say(
                "session " + id + " " + ending + " " + cause + (over ? " over" : ""),
                router.after(now, id, ending, cause, 0, took * MS, 0, over));
    }

    Desk ended(long id) {
        router.ended(now, id);
        return this;
    }

    /**
     * Offers sessions evenly and notes how many were sent; each sent one stands at once, after 50
     * ms as told.
     */
    Desk load(long from, int count, int service, int farEnd, long gapMillis) {
        return load(from, count, service, farEnd, gapMillis, 0);
    }

    /** The same with set-ups that take their time, one by one. */
    Desk load(long from, int count, int service, int farEnd, long gapMillis, long took) {
        int sent = 0;
        for (long id = from; id < from + count; id++) {
            pass(gapMillis);
            int before = trace.length();
            if (call(id, service, farEnd).kind() == Answer.Kind.SEND) {
                sent++;
                pass(took).after(id, Ending.STANDS, Cause.NONE, took == 0 ? 50 : took);
            }
            trace.setLength(before);
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

    Desk note(String text) {
        trace.append(now / MS).append(" ms  ").append(text).append('\n');
        return this;
    }

    private Answer say(String what, Answer answer) {
        String out =
                switch (answer.kind()) {
                    case SEND ->
                            "send to "
                                    + answer.exchange()
                                    + ", limit "
                                    + answer.time() / MS
                                    + " ms";
                    case LATER -> "later, at " + answer.time() / MS + " ms";
                    case REFUSE -> "refuse, come back after " + answer.time() / MS + " ms";
                    case FAIL -> "fail";
                    case NOTHING -> "nothing";
                };
        note(what + " -> " + out);
        return answer;
    }

    void reads(String name) {
        assertThat(trace.toString()).isEqualTo(kept(name));
    }

    static String kept(String name) {
        try (InputStream in = Desk.class.getResourceAsStream("/traces/" + name + ".txt")) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

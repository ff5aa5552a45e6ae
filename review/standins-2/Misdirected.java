import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Bad clients ask the same again as soon as they are turned away. The ends of calls of sound callers
 * have to reach these callers all the same.
 */
final class Misdirected {
    private static final int BAD_CLIENTS = 12;

    /** "Each call router sees little traffic": a call each 2.5 s. */
    private static final double RATE = 0.4;

    private static final double LOAD_S = 85;

    /** "if no release could be sent, within 8 s of its end", and 50 ms. */
    private static final double LATEST = 8.05;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], Misdirected::broken);
    }

    /** A sound caller: one connection for its call, closed after 4 s without a set-up on it. */
    private static final class SoundCaller extends Kit.Caller {
        SoundCaller(Kit.Router router) throws java.io.IOException {
            super(router);
        }
    }

    /** Sends the same set-up again under a new id as soon as it is turned away, and reads on. */
    private static final class BadClient extends Kit.Caller {
        private int turnedAway;

        BadClient(Kit.Router router) throws java.io.IOException {
            super(router);
        }

        void ask() {
            try {
                send(
                        Kit.message(
                                1,
                                Kit.newId(),
                                64,
                                "slot-lookup",
                                65,
                                "3000",
                                68,
                                Kit.hex(4711),
                                69,
                                "dest:9;width:1;via:-1",
                                79,
                                Kit.description()));
            } catch (java.io.IOException e) {
                close();
            }
        }

        @Override
        void received(int type, long id, int cause, Map<Integer, byte[]> parameters) {
            if (Kit.CALLS.containsKey(id)) {
                Kit.note("a bad client got type " + type + " for " + Kit.hex(id));
            } else if (type == 12) {
                turnedAway++;
                ask();
            }
        }
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        Map<String, Double> releasedAt = new java.util.concurrent.ConcurrentHashMap<>();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= 3; cell++) {
            Kit.Exchange exchange =
                    new Kit.Exchange("s-0000000" + cell, cell) {
                        @Override
                        void release(Leg leg, String cause) {
                            releasedAt.putIfAbsent(leg.id, Kit.now());
                            super.release(leg, cause);
                        }
                    };
            exchange.listen();
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, Kit.Router.settings());
        router.awaitReady();

        List<BadClient> bad = new ArrayList<>();
        double end = Kit.now() + LOAD_S;
        double badFrom = Kit.now() + 5;
        List<Kit.Call> calls = new ArrayList<>();
        List<SoundCaller> callers = new ArrayList<>();
        for (double next = Kit.now(); Kit.now() < end + 12; ) {
            double now = Kit.now();
            if (Kit.TROUBLE && now > badFrom && bad.isEmpty()) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    bad.add(new BadClient(router));
                    bad.get(i).ask();
                }
                Kit.note(BAD_CLIENTS + " bad clients ask and ask again");
            }
            if (now >= next && now < end) {
                next += 1 / RATE;
                SoundCaller caller = new SoundCaller(router);
                callers.add(caller);
                calls.add(caller.setUp(1 + calls.size() % 3, 3.4, false));
            }
            if (now < end) {
                // The last connections stay open, so that each release can be sent on one.
                callers.removeIf(
                        each -> {
                            boolean idle = each.open.isEmpty() && now - each.lastUsedAt > 4;
                            if (idle) {
                                each.close();
                            }
                            return idle || !each.isOpen();
                        });
            }
            Kit.sleep(0.003);
        }
        int asked = 0;
        for (BadClient each : bad) {
            asked += each.turnedAway;
        }
        int stood = 0;
        int over = 0;
        int lost = 0;
        double until = Kit.now();
        for (Kit.Call call : calls) {
            stood += call.answeredAt > 0 ? 1 : 0;
            Double released = releasedAt.get(Kit.hex(call.id));
            if (call.answeredAt > 0 && released != null && released < until - LATEST) {
                over++;
                if (call.endedAt == 0 || call.endedAt - released > LATEST) {
                    lost++;
                    Kit.note(
                            Kit.hex(call.id)
                                    + (call.endedAt == 0 ? " still stands" : " stood")
                                    + String.format(
                                            " at its caller %.1f s after its exchange's release",
                                            (call.endedAt == 0 ? until : call.endedAt) - released));
                }
            }
        }
        Kit.note(
                String.format(
                        "%d calls, %d stood, %d of these were released by their exchange: %d were"
                                + " not released to their callers within %.2f s; bad clients were"
                                + " turned away %d times",
                        calls.size(), stood, over, lost, LATEST, asked));
        return lost > 0;
    }

    private Misdirected() {}
}

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Answers get lost with their connection, which is reset under the request: the request has run. No
 * session may have two INVITEs out all the same.
 */
final class TwoOut {
    /** "up to 88% of the exchanges": 7 of 8 here. */
    private static final int EXCHANGES = 8;

    private static final int TROUBLED = 7;

    /** "13 to 34% of their answers never arrive". */
    private static final double LOST_SHARE = 0.33;

    /** "For 21 to 40 s". */
    private static final double TROUBLE_S = 40;

    private static final double RATE = 40;

    /**
     * Some set-ups wait at the processor; it turns set-ups away only once its wait passes 1.4 s or
     * more. All are answered long before their time is up.
     */
    private static final double SLOW_SHARE = 0.25;

    private static final Map<String, List<Kit.Exchange.Leg>> LEGS = new ConcurrentHashMap<>();
    private static volatile boolean troubled;
    private static int doubles;
    private static int lost;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], TwoOut::broken);
    }

    private static final class Exchange extends Kit.Exchange {
        Exchange(int cell) {
            super("s-0000000" + cell, cell);
            meanHold = 4.5;
        }

        @Override
        void invite(Leg leg, Kit.Sip message) {
            synchronized (LEGS) {
                List<Leg> earlier = LEGS.computeIfAbsent(leg.id, id -> new ArrayList<>());
                for (Leg each : earlier) {
                    // Out from its coming whole until its end is written or it is given up, by
                    // CANCEL or with its connection.
                    if (!each.answered && !each.over && each.link.open()) {
                        doubles++;
                        Kit.note(
                                String.format(
                                        "two INVITEs of %s are out: cseq %s since %.3f, and cseq"
                                                + " %s",
                                        leg.id, each.cseq, each.at, leg.cseq));
                    }
                }
                earlier.add(leg);
            }
            double wait =
                    random.nextDouble() < SLOW_SHARE
                            ? 0.6 + 0.4 * random.nextDouble()
                            : 0.01 + 0.04 * random.nextDouble();
            Kit.after(wait, () -> answer(leg));
        }

        @Override
        void sendAnswer(Leg leg) {
            if (troubled && cell <= TROUBLED && random.nextDouble() < LOST_SHARE) {
                synchronized (LEGS) {
                    lost++;
                }
                Kit.note(name + " call " + leg.id + " stands, its answer is lost by a reset");
                leg.link.reset();
            } else {
                super.sendAnswer(leg);
            }
        }
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= EXCHANGES; cell++) {
            Exchange exchange = new Exchange(cell);
            exchange.listen();
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(
                bulletin,
                Kit.Router.settings("@balancers", "9", "@call_length", "4500000000,4500000000"));
        router.awaitReady();
        List<Kit.Caller> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            callers.add(router.connect());
        }
        List<Kit.Call> calls = new ArrayList<>();
        double start = Kit.now();
        for (double next = start; Kit.now() < start + 2 * TROUBLE_S + 20; ) {
            double at = Kit.now() - start;
            // Twice, with 12 s between.
            troubled = Kit.TROUBLE && at > 5 && (at - 5) % (TROUBLE_S + 12) < TROUBLE_S;
            if (Kit.now() >= next) {
                next += 1 / RATE;
                calls.add(
                        callers.get(calls.size() % callers.size())
                                .setUp(1 + calls.size() % EXCHANGES, 3.4, false));
            } else {
                Kit.sleep(0.001);
            }
        }
        Kit.sleep(4);
        int stood = 0;
        for (Kit.Call call : calls) {
            stood += call.answeredAt > 0 ? 1 : 0;
        }
        Kit.note(
                String.format(
                        "%d calls, %d stood, %d answers were lost; %d times a session had two"
                                + " INVITEs out",
                        calls.size(), stood, lost, doubles));
        return doubles > 0;
    }

    private TwoOut() {}
}

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Answers of exchanges never arrive though the calls stand there. A caller that was turned away must
 * hear nothing more of this session.
 */
final class SecondAnswer {
    /** "For 21 to 40 s, the processors of up to 88% of the exchanges": 2 of 3 here. */
    private static final double TROUBLE_S = 40;

    /** "13 to 34% of their answers never arrive". */
    private static final double LOST_SHARE = 0.2;

    /** "on one day up to 190" calls a second reach the busiest call router. */
    private static final double RATE = 185;

    private static final double LOAD_S = 80;

    private static volatile boolean troubled;
    private static int lost;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], SecondAnswer::broken);
    }

    private static boolean broken() throws Exception {
        Kit.Bulletin bulletin = new Kit.Bulletin();
        List<String> entries = new ArrayList<>();
        for (int cell = 1; cell <= 3; cell++) {
            Kit.Exchange exchange =
                    new Kit.Exchange("s-0000000" + cell, cell) {
                        @Override
                        void sendAnswer(Leg leg) {
                            if (troubled && cell <= 2 && random.nextDouble() < LOST_SHARE) {
                                lost++;
                                Kit.note(name + " call " + leg.id + " stands, its answer is lost");
                            } else {
                                super.sendAnswer(leg);
                            }
                        }
                    };
            exchange.free = 1500;
            exchange.size = 1500;
            exchange.listen();
            entries.add(exchange.entry("in_service", 0));
        }
        bulletin.event(true, entries.toArray(new String[0]));
        Kit.Router router = new Kit.Router("n0");
        router.start(bulletin, Kit.Router.settings());
        router.awaitReady();
        List<Kit.Caller> callers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            callers.add(router.connect());
        }
        List<Kit.Call> calls = new ArrayList<>();
        double start = Kit.now();
        for (double next = start; Kit.now() < start + LOAD_S; ) {
            double at = Kit.now() - start;
            troubled = Kit.TROUBLE && at > 3 && at < 3 + TROUBLE_S;
            if (Kit.now() >= next) {
                next += 1 / RATE;
                calls.add(
                        callers.get(calls.size() % callers.size())
                                .setUp(1 + calls.size() % 3, 3.4, false));
            } else {
                Kit.sleep(0.001);
            }
        }
        Kit.sleep(10);
        Map<Integer, Integer> causes = new HashMap<>();
        int stood = 0;
        int second = 0;
        for (Kit.Call call : calls) {
            stood += call.answeredAt > 0 ? 1 : 0;
            if (call.answeredAt == 0) {
                causes.merge(call.endCause, 1, Integer::sum);
                // A release before any answer was the final answer; a further one is a second.
                if (call.finals > 1) {
                    second++;
                    Kit.note(
                            "a second final message for "
                                    + Kit.hex(call.id)
                                    + ", turned away with cause "
                                    + call.endCause);
                }
            }
        }
        Kit.note(
                String.format(
                        "%d calls, %d stood, %d answers were lost, turned away by cause %s; %d had"
                                + " a second final message",
                        calls.size(), stood, lost, causes, second));
        return second > 0;
    }

    private SecondAnswer() {}
}

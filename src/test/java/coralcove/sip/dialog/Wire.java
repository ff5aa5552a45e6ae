package coralcove.sip.dialog;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.Kept;
import coralcove.sip.BadMessage;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.Timers;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Two user agents on a wire that a test drops, doubles and delays messages on; all that crosses it
 * is printed.
 */
final class Wire {
    /**
     * What becomes of the n-th message of this kind ("INVITE", "200 INVITE"): lost, or how often
     * and how late in ms.
     */
    interface Fate {
        int[] of(String what, int nth);
    }

    static final int[] LOST = {};
    static final int[] FAIR = {10};

    final class Phone implements Agent.User, Out {
        final String name;
        final Hop self;
        final Timers timers = new Timers();
        final Agent agent;
        Call call;
        boolean answers = true;

        /** Answers a change with this status. */
        int changeStatus = 200;

        Phone(String name, Hop self) {
            this.name = name;
            this.self = self;
            agent = new Agent(self, timers, name, this);
        }

        void call(Phone to) {
            SipMessage invite = agent.request("INVITE", "sip:7@" + to.self.host());
            call = agent.invite(now, invite, to.self, null, this);
        }

        @Override
        public void send(Hop to, SipMessage message) {
            String what =
                    message.isRequest()
                            ? message.method()
                            : message.status() + " " + message.cseqMethod();
            int nth = 1;
            for (String each : sent) {
                nth += each.equals(name + what) ? 1 : 0;
            }
            sent.add(name + what);
            int[] delays = fate.of(name + " " + what, nth);
            note(
                    name
                            + " "
                            + what
                            + (delays.length == 0
                                    ? " (lost)"
                                    : delays.length > 1 ? " (doubled)" : ""));
            for (int delay : delays) {
                flights.add(new Flight(now + delay * 1000L, orders++, this, to, message.bytes()));
            }
        }

        @Override
        public void log(String event, String session, String detail) {
            note(name + " logs " + event);
        }

        private void says(String text) {
            note(name + ": " + text);
        }

        @Override
        public void invited(long at, Call it, Hop from, Out out) {
            call = it;
            says("invited");
            if (answers) {
                agent.answer(at, it, out);
            }
        }

        @Override
        public void progressed(long at, Call it, SipMessage response, Out out) {
            says("hears " + response.status());
        }

        @Override
        public void answered(long at, Call it, SipMessage response, Out out) {
            says("answered");
        }

        @Override
        public void rejected(long at, Call it, SipMessage response, Agent.Lost lost, Out out) {
            says("rejected " + (response == null ? lost : response.status()));
        }

        @Override
        public void cancelled(long at, Call it, Out out) {
            says("cancelled");
        }

        @Override
        public void hungUp(long at, Call it, SipMessage bye, Out out) {
            says("hung up" + (bye == null ? " by itself" : ""));
        }

        @Override
        public void changing(long at, Call it, SipMessage invite, Out out) {
            says("asked to change to " + invite.text());
            if (changeStatus > 0) {
                agent.answerChange(at, it, changeStatus, "x", "text/plain", invite.body(), out);
            }
        }

        @Override
        public void changed(long at, Call it, SipMessage response, Out out) {
            says("its change came to " + response.status());
        }

        @Override
        public void request(long at, ServerTx tx, Hop from, Out out) {
            agent.respond(at, tx, agent.reply(tx, 200, "OK"), out);
        }

        @Override
        public void replied(long at, ClientTx tx, SipMessage response, Out out) {
            says("replied");
        }
    }

    private record Flight(long at, long order, Phone from, Hop to, byte[] bytes) {}

    final Phone a;
    final Phone b;
    private final Fate fate;
    private final StringBuilder trace = new StringBuilder();
    private final List<Flight> flights = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    long now;
    private long orders;

    Wire(boolean tcp, Fate fate) {
        this.fate = fate;
        a = new Phone("a", new Hop(tcp, "ha", 1));
        b = new Phone("b", new Hop(tcp, "hb", 2));
    }

    Wire note(String text) {
        trace.append(now / 1000).append(" ms  ").append(text).append('\n');
        return this;
    }

    /** Runs for so many ms. */
    Wire pass(long millis) {
        long end = now + millis * 1000;
        while (true) {
            Flight next =
                    flights.stream()
                            .min(
                                    Comparator.comparingLong(Flight::at)
                                            .thenComparingLong(Flight::order))
                            .orElse(null);
            long timer = Math.min(a.timers.due(), b.timers.due());
            long at = Math.min(timer, next == null ? Long.MAX_VALUE : next.at);
            if (at > end) {
                now = end;
                return this;
            }
            now = Math.max(now, at);
            if (next != null && next.at <= timer) {
                flights.remove(next);
                deliver(next.from.self, next.to, next.bytes);
            } else {
                a.timers.run(now, a);
                b.timers.run(now, b);
            }
        }
    }

    // ---- driven by hand, for the model checker: messages stand until one of these is called

    int inFlight() {
        return flights.size();
    }

    /** Takes message {@code i} off the wire and delivers it, or not; {@code keep} leaves a copy. */
    void settle(int i, boolean delivered, boolean keep) {
        Flight flight = keep ? flights.get(i) : flights.remove(i);
        note(delivered ? "delivered" + (keep ? ", and a copy kept" : "") : "lost");
        if (delivered) {
            deliver(flight.from.self, flight.to, flight.bytes);
        }
    }

    /** Lets time pass to the next timer of either side, and fires it. */
    boolean nextTimer() {
        long at = Math.min(a.timers.due(), b.timers.due());
        if (at == Long.MAX_VALUE) {
            return false;
        }
        now = Math.max(now, at);
        a.timers.run(now, a);
        b.timers.run(now, b);
        // Every message lives less than T4 in a network that RFC 3261 is made for.
        flights.removeIf(flight -> flight.at <= now - coralcove.sip.transaction.Transactions.T4);
        return true;
    }

    String trace() {
        return trace.toString();
    }

    Wire deliver(Hop from, Hop to, byte[] bytes) {
        Phone target = to.host().equals("ha") ? a : to.host().equals("hb") ? b : null;
        if (target != null) {
            try {
                target.agent.receive(now, from, SipParser.parse(bytes, 0, bytes.length), target);
            } catch (BadMessage e) {
                target.agent.malformed(now, from, e, target);
            }
        }
        return this;
    }

    void reads(String name) {
        assertThat(trace.toString()).isEqualTo(Kept.trace(name));
    }
}

package coralcove.edge;

import coralcove.Exchange;
import coralcove.dns.Questions;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.dialog.CallFreeCore;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import coralcove.sources.Roster;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Asks all sources of a router as the router does, and routes nothing: for who wants to know what
 * is believed and why.
 */
public final class SourcesCore extends CallFreeCore implements RosterDesk.User, Locating {
    private final RosterDesk desk;

    public SourcesCore(EdgeSettings settings) {
        super(settings.self(), settings.start());
        desk =
                new RosterDesk(
                        settings,
                        agent,
                        timers,
                        this,
                        new SplittableRandom(settings.start().hashCode()));
    }

    @Override
    public void start(long now, Out out) {
        desk.ask(now, out);
    }

    @Override
    public void locate(
            long now, LocatorSettings of, Questions questions, Consumer<LocatorResult> results) {
        desk.locate(now, of, questions, results);
    }

    @Override
    public void found(long now, LocatorResult it, Out out) {
        desk.found(now, it, out);
    }

    public Roster roster() {
        return desk.roster();
    }

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        if (tx.request().method().equals("NOTIFY")) {
            desk.subscriber().notified(now, tx, from, out);
        } else {
            agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        desk.subscriber().replied(now, tx, response, out);
    }

    @Override
    public void rostered(long now, List<Exchange> news) {
        // Looked at when it is printed.
    }

    @Override
    public void rosterLost(long now) {
        // It asks once.
    }

    @Override
    public boolean groups(long now, List<String> lines) {
        return false;
    }
}

package coralcove.edge;

import coralcove.Exchange;
import coralcove.dns.DnsQueryClient;
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
 * Queries all sources of a router as the router does, but routes nothing. For diagnosis: it shows
 * what the sources report and the roster that results.
 */
public final class SourceQueryCore extends CallFreeCore
        implements RosterManager.Listener, DnsDiscoveryCore {
    private final RosterManager rosterManager;

    public SourceQueryCore(EdgeSettings settings) {
        super(settings.listenAddress(), settings.startTag());
        rosterManager =
                new RosterManager(
                        settings,
                        agent,
                        timers,
                        this,
                        new SplittableRandom(settings.startTag().hashCode()));
    }

    @Override
    public void start(long now, Out out) {
        rosterManager.subscribe(now, out);
    }

    @Override
    public void startDnsDiscovery(
            long now,
            LocatorSettings settings,
            DnsQueryClient questions,
            Consumer<LocatorResult> results) {
        rosterManager.startDnsDiscovery(now, settings, questions, results);
    }

    @Override
    public void dnsAnswered(long now, LocatorResult result, Out out) {
        rosterManager.dnsAnswered(now, result, out);
    }

    /** The reports of the sources and the roster merged from them. */
    public Roster roster() {
        return rosterManager.roster();
    }

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        if (tx.request().method().equals("NOTIFY")) {
            rosterManager.subscriber().notified(now, tx, from, out);
        } else {
            agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        rosterManager.subscriber().replied(now, tx, response, out);
    }

    @Override
    public void rosterChanged(long now, List<Exchange> changes) {
        // The roster is read when it is printed.
    }

    @Override
    public void directorySubscriptionEnded(long now) {
        // Each directory is queried only once.
    }

    @Override
    public boolean trunkGroupsReceived(long now, List<String> lines) {
        return false;
    }
}

package coralcove.edge;

import coralcove.Exchange;
import coralcove.dns.DnsQueryClient;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.InviteRejectingCore;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import coralcove.sources.Roster;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Queries all sources of a router as the router does, but routes nothing. For diagnosis: it shows
 * what the sources report and the roster that results.
 */
public final class SourceQueryCore extends InviteRejectingCore
        implements RosterManager.Listener, DnsDiscoveryCore {
    private final RosterManager rosterManager;

    public SourceQueryCore(EdgeSettings settings) {
        super(settings.listenAddress(), settings.startTag());
        rosterManager =
                new RosterManager(
                        settings,
                        userAgent,
                        timers,
                        this,
                        new SplittableRandom(settings.startTag().hashCode()));
    }

    @Override
    public void start(long now, SipOutput out) {
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
    public void dnsAnswered(long now, LocatorResult result, SipOutput out) {
        rosterManager.dnsAnswered(now, result, out);
    }

    /** The reports of the sources and the roster merged from them. */
    public Roster roster() {
        return rosterManager.roster();
    }

    @Override
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        if (transaction.request().method().equals("NOTIFY")) {
            rosterManager.subscriber().handleNotify(now, transaction, from, out);
        } else {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 405, "Method Not Allowed"),
                    out);
        }
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        rosterManager.subscriber().handleResponse(now, transaction, response, out);
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

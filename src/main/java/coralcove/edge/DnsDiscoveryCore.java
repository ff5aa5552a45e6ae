package coralcove.edge;

import coralcove.dns.DnsQueryClient;
import coralcove.sip.SipOutput;
import java.util.function.Consumer;

/** A core that can use DNS as a further source of router addresses. */
public interface DnsDiscoveryCore {
    /**
     * Starts querying DNS. The owner of {@code results} passes each result back through {@link
     * #dnsAnswered} on the core's own thread.
     */
    void startDnsDiscovery(
            long now,
            LocatorSettings settings,
            DnsQueryClient questions,
            Consumer<LocatorResult> results);

    /** The result of a DNS query. */
    void dnsAnswered(long now, LocatorResult result, SipOutput out);
}

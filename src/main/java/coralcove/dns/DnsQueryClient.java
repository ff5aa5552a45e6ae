package coralcove.dns;

import java.util.function.Consumer;

/** Sends queries through a resolver: over sockets, or in virtual time. */
public interface DnsQueryClient {
    /** Sends a query; {@code callback} is called exactly once with the result. */
    void query(String name, int type, Consumer<Resolver.Result> callback);
}

package coralcove.dns;

import java.util.function.Consumer;

/** Sends queries through a resolver: over sockets, or in virtual time. */
public interface Questions {
    /** Sends a query; {@code callback} is called exactly once with the result. */
    void ask(String name, int type, Consumer<Resolver.Result> callback);
}

package coralcove.dns;

import java.util.function.Consumer;

/** Where a resolver's questions are asked: over sockets, or in virtual time. */
public interface Questions {
    /** Asks; {@code done} is called once. */
    void ask(String name, int type, Consumer<Resolver.Result> done);
}

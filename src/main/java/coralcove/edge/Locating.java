package coralcove.edge;

import coralcove.dns.Questions;
import coralcove.sip.Out;
import java.util.function.Consumer;

/** A core that takes DNS for a source of where routers are. */
public interface Locating {
    /** Asks from now on; {@code results} carries each answer back to {@link #found}. */
    void locate(long now, LocatorSettings of, Questions questions, Consumer<LocatorResult> results);

    /** An answer from a name server. */
    void found(long now, LocatorResult it, Out out);
}

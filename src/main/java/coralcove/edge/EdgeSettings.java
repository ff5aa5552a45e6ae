package coralcove.edge;

import coralcove.Settings;
import coralcove.sip.Hop;
import java.util.List;

/**
 * One call router's settings. {@code answerMargin} µs is kept back from a caller's timer limit so
 * that the final answer reaches it in time; {@code mostOpen} bounds the sessions held that have no
 * final answer yet.
 */
public record EdgeSettings(
        int number,
        Hop self,
        Hop exchange,
        List<Hop> directories,
        Settings module,
        long answerMargin,
        int mostOpen,
        long seed,
        String start) {}

package coralcove.edge;

import coralcove.Settings;
import coralcove.sip.Hop;
import java.util.List;

/**
 * Settings of one call router.
 *
 * @param number number of the local exchange
 * @param self address at which the router listens
 * @param exchange address of the local exchange
 * @param directories addresses of the directories
 * @param module settings of the routing policy
 * @param answerMargin µs subtracted from a caller's timer limit so that the final answer reaches
 *     the caller in time
 * @param mostOpen maximum sessions without a final answer
 * @param seed seed of the router's random choices
 * @param start tag of this start, part of the ids the router generates
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

package coralcove.edge;

import coralcove.Settings;
import coralcove.sip.TransportAddress;
import java.util.List;

/**
 * Settings of one call router.
 *
 * @param number number of the local exchange
 * @param listenAddress address at which the router listens
 * @param exchangeAddress address of the local exchange
 * @param directories addresses of the directories
 * @param policySettings settings of the routing policy
 * @param answerMargin µs subtracted from a caller's timer limit so that the final answer reaches
 *     the caller in time
 * @param maxOpenSessions maximum sessions without a final answer
 * @param seed seed of the router's random choices
 * @param startTag tag of this start, part of the ids the router generates
 */
public record EdgeSettings(
        int number,
        TransportAddress listenAddress,
        TransportAddress exchangeAddress,
        List<TransportAddress> directories,
        Settings policySettings,
        long answerMargin,
        int maxOpenSessions,
        long seed,
        String startTag) {}

package coralcove.sources;

import coralcove.Exchange;

/**
 * One entry of the roster.
 *
 * @param exchange the exchange and its state, as reported to the routing policy
 * @param routerAddress address of its router
 * @param reason reason for the state
 */
public record RosterEntry(Exchange exchange, String routerAddress, Reason reason) {
    /** What the state of a roster entry rests on. The names appear in the log. */
    public enum Reason {
        /** A list that is being renewed names the exchange. */
        LISTED,
        /** Only lists that are no longer renewed name it; the router keeps using it. */
        LIST_OLD,
        /** The exchange announced that it is draining. */
        DRAINS,
        /** The exchange announced that it has stopped. */
        LEFT,
        /**
         * A directory no longer receives its heartbeats, and no other directory has a later one.
         */
        SILENT,
        /** Only expired lists name it, and a complete list that is being renewed does not. */
        OUTLIVED,
        /** Only DNS names it; counts as cold from the time it was first seen. */
        DNS_ONLY,
        /** DNS no longer names it, and no directory ever listed it. */
        DNS_DROPPED,
        /** DNS gives one address for two numbers, as a wildcard does, so its owner is unknown. */
        DNS_SHARED,
        /** A directory lists an exchange with its number; directories take precedence over DNS. */
        DNS_YIELDS
    }
}

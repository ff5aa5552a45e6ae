package coralcove.sources;

import coralcove.Exchange;

/** One machine as believed: what the module is told of it, where its router is reached, and why. */
public record Belief(Exchange exchange, String address, Why why) {
    /** What the belief rests on. */
    public enum Why {
        /** A list that is renewed names it. */
        LISTED,
        /** Only lists that nobody renews any more name it: served on with it. */
        LIST_OLD,
        /** The machine said that it drains. */
        DRAINS,
        /** The machine said that it ends. */
        LEFT,
        /** A directory heard nothing of it any more, and no other has since. */
        SILENT,
        /** Only lists past their last step name it, and one that is renewed does not. */
        OUTLIVED,
        /** Only DNS names it; taken for cold from when it was first seen. */
        DNS_ONLY,
        /** DNS does not name it any more, and no list ever did. */
        DNS_DROPPED,
        /** DNS names one address for two numbers, as a wildcard does: whose it is nobody knows. */
        DNS_SHARED,
        /** A directory lists a machine of its number, which counts before DNS. */
        DNS_YIELDS
    }
}

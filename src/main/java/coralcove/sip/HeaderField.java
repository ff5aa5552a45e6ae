package coralcove.sip;

/**
 * One header field: its name, in full form if it was parsed from a compact one, and its value,
 * unfolded and otherwise unchanged.
 */
public record HeaderField(String name, String value) {}

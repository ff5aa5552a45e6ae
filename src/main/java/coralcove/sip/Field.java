package coralcove.sip;

/**
 * One header field as it was read: its name in full form, its value unfolded and otherwise
 * unchanged.
 */
public record Field(String name, String value) {}

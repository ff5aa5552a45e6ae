package coralcove;

import java.util.List;

/**
 * Ask again at {@code until} (0: no need); send these probes and peer messages, and subscribe if
 * told to.
 */
public record Waiting(long until, List<Long> probes, List<byte[]> broadcasts, boolean subscribe) {}

package coralcove.edge;

import coralcove.dns.Resolver;

/** The result of one DNS query of a router's locator, for a name and record type. */
public record LocatorResult(String name, int type, Resolver.Result result) {}

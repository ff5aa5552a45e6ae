package coralcove.edge;

import coralcove.dns.Resolver;

/** How a question of a router's locator ended. */
public record LocatorResult(String name, int type, Resolver.Result result) {}

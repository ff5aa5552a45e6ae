package coralcove;

/**
 * A session that this router is to route.
 *
 * @param service index of the service in the settings
 * @param tenant number of the tenant; not used by the penalty rule
 * @param farEnd number of the exchange to reach; for a session in transit its only route
 * @param width circuits that a call of it takes
 * @param advice number of the tandem that a routing centre advised, or -1
 * @param transit whether it came from another exchange, for which this one is the tandem
 * @param number the called number, 0 if unknown
 * @param redialled whether the caller marked it as a redial
 * @param cut whether the caller dials again because an established call was cut off
 * @param arrived time of its arrival
 * @param limit time at which its caller stops waiting
 */
public record Session(
        long id,
        int service,
        int tenant,
        int farEnd,
        int width,
        int advice,
        boolean transit,
        long number,
        boolean redialled,
        boolean cut,
        long arrived,
        long limit) {}

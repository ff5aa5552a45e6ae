package coralcove;

/**
 * A session that this router is to route.
 *
 * @param service index of the service in the settings
 * @param tenant number of the tenant; not used by the penalty rule
 * @param farEnd number of the exchange to reach; for a session in transit its only route
 * @param circuits circuits that a call of it takes
 * @param advisedTandem number of the tandem that a routing centre advised, or -1
 * @param transit whether it came from another exchange, for which this one is the tandem
 * @param calledNumber the called number, 0 if unknown
 * @param redialled whether the caller marked it as a redial
 * @param redialledAfterCut whether the caller dials again because an established call was cut off
 * @param arrivedAt time of its arrival
 * @param deadline time at which its caller stops waiting
 */
public record Session(
        long id,
        int service,
        int tenant,
        int farEnd,
        int circuits,
        int advisedTandem,
        boolean transit,
        long calledNumber,
        boolean redialled,
        boolean redialledAfterCut,
        long arrivedAt,
        long deadline) {}

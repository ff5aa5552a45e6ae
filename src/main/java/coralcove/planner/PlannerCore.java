package coralcove.planner;

import coralcove.GroupLoad;
import coralcove.GroupTargets;
import coralcove.Plan;
import coralcove.Planner;
import coralcove.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The planner of one router, without sockets and clock: it connects to its edge, receives group
 * loads and sends plans for some groups at a time. It may be killed at any time: the edge holds the
 * plans, and the loads come again with the next updates. The planner's own clock measures only
 * intervals; the age of loads is measured by the edge's clock.
 */
public final class PlannerCore {
    /** Actions of the planner on its connection and its log. */
    public interface Actions {
        /** Starts to connect to the edge. */
        void connect();

        /** Sends bytes to the edge. */
        void send(byte[] bytes);

        /** Closes the connection. */
        void close();

        /** Logs an event. */
        void log(String event, String detail);
    }

    /** µs between two rounds of planning, and between two ticks. */
    private static final long ROUND_INTERVAL_MICROS = 100_000;

    /** Greatest number of groups planned in one round: 200 groups take a second. */
    private static final int GROUPS_PER_ROUND = 24;

    /** µs: the first delay between two attempts to connect. */
    private static final long INITIAL_RECONNECT_DELAY_MICROS = 100_000;

    /** µs: the longest delay between two attempts to connect. */
    private static final long MAX_RECONNECT_DELAY_MICROS = 5_000_000;

    /** µs of silence after which the connection to the edge is closed. */
    private static final long SILENCE_TIMEOUT_MICROS = 3_000_000;

    /** µs without anything sent after which a heartbeat is sent. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 1_000_000;

    /** Greatest number of groups whose loads are stored. */
    public static final int MAX_GROUPS = 4096;

    private static final long NEVER = Long.MIN_VALUE;

    /** State of the connection to the edge. */
    private enum State {
        /** Not connected; the next attempt is scheduled. */
        DISCONNECTED,
        /** An attempt to connect is under way. */
        CONNECTING,
        /** Connected; the hello has been sent. */
        HANDSHAKING,
        /** The edge has accepted the hello. */
        ESTABLISHED
    }

    private final Settings settings;
    private final Planner planner;
    private final RandomGenerator random;
    private final long startTag;
    private final PlanningSchedule schedule;

    /** Null where loads are planned as measured. */
    private final LoadForecast forecast;

    private Frame.FrameDecoder decoder = new Frame.FrameDecoder();
    private State state = State.DISCONNECTED;
    private long nextConnectAt;
    private long reconnectDelay = INITIAL_RECONNECT_DELAY_MICROS;
    private long lastReceivedAt;
    private long nextHeartbeatAt;
    private long nextRoundAt;
    private long version;

    /** Latest time of measurement of any load, by the edge's clock. */
    private long newestLoadAt = Long.MIN_VALUE;

    /** Local time at which that load was received from the edge. */
    private long newestLoadReceivedAt = NEVER;

    private long acceptedPlans;
    private long rejectedPlans;

    /** Creates a planner that plans for the loads as measured. */
    public PlannerCore(Settings settings, long startTag, RandomGenerator random) {
        this(settings, startTag, random, false);
    }

    /**
     * Creates a planner.
     *
     * @param startTag distinguishes this start of the planner from others
     * @param random randomizes the reconnect delays
     * @param forecastLoads whether significant changes of load are extrapolated
     */
    public PlannerCore(
            Settings settings, long startTag, RandomGenerator random, boolean forecastLoads) {
        this.settings = settings;
        this.startTag = startTag;
        this.random = random;
        planner = new Planner(settings);
        int[] widths = new int[2 * settings.services().size()];
        for (int i = 0; i < widths.length; i++) {
            widths[i] = settings.services().get(i / 2).circuits();
        }
        schedule = new PlanningSchedule(widths, MAX_GROUPS);
        long[] holdTimes = new long[widths.length];
        Arrays.setAll(holdTimes, i -> settings.services().get(i / 2).holdTime());
        forecast = forecastLoads ? new LoadForecast(holdTimes, MAX_GROUPS) : null;
    }

    /** Whether the edge has accepted this planner. */
    public boolean handshakeComplete() {
        return state == State.ESTABLISHED;
    }

    /** Returns the number of plans that the edge accepted and the number that it rejected. */
    public long[] planCounters() {
        return new long[] {acceptedPlans, rejectedPlans};
    }

    /**
     * Adds loads from a store. They are planned if they are still recent by the edge's clock once
     * the edge has sent a load.
     */
    public void restore(List<GroupLoad> loads) {
        for (GroupLoad load : loads) {
            if (schedule.add(load)) {
                newestLoadAt = Math.max(newestLoadAt, load.measuredAt());
            }
        }
        schedule.drainChanged();
    }

    /** Returns the loads received since the last call, to be written to the store. */
    public List<GroupLoad> drainChanged() {
        return schedule.drainChanged();
    }

    /** The connection to the edge has been established. */
    public void connected(long now, Actions actions) {
        state = State.HANDSHAKING;
        decoder = new Frame.FrameDecoder();
        lastReceivedAt = now;
        actions.send(
                new Frame.Hello(
                                true,
                                settings.localNumber(),
                                2 * settings.services().size(),
                                startTag,
                                version)
                        .encode());
    }

    /** The connection has ended or could not be established. */
    public void connectionClosed(long now, Actions actions) {
        if (state == State.DISCONNECTED) {
            return;
        }
        state = State.DISCONNECTED;
        nextConnectAt = now + reconnectDelay / 2 + random.nextLong(reconnectDelay);
        reconnectDelay = Math.min(MAX_RECONNECT_DELAY_MICROS, 2 * reconnectDelay);
        actions.log("edge-gone", "next try in " + (nextConnectAt - now) / 1000 + " ms");
    }

    /** Bytes have been received from the edge. */
    public void bytesReceived(long now, byte[] bytes, Actions actions) {
        if (state == State.DISCONNECTED) {
            return;
        }
        lastReceivedAt = now;
        try {
            for (byte[] frame : decoder.feed(bytes)) {
                handle(now, Frame.decode(frame), actions);
                if (state == State.DISCONNECTED) {
                    return;
                }
            }
        } catch (Frame.MalformedFrameException e) {
            actions.log("bad-frame", e.getMessage());
            actions.close();
            connectionClosed(now, actions);
        }
    }

    private void handle(long now, Frame frame, Actions actions) {
        if (frame instanceof Frame.Hello hello) {
            state = State.ESTABLISHED;
            reconnectDelay = INITIAL_RECONNECT_DELAY_MICROS;
            // The edge rejects versions that are not newer, so a restarted planner continues from
            // the version in force.
            version = Math.max(version, hello.planVersion());
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
            nextRoundAt = now;
            actions.log(
                    "edge-here",
                    "start " + hello.startTag() + ", plan " + hello.planVersion() + " in force");
        } else if (frame instanceof Frame.HelloRejected rejected) {
            reconnectDelay = MAX_RECONNECT_DELAY_MICROS;
            actions.log("turned-away", rejected.reason());
            actions.close();
            connectionClosed(now, actions);
        } else if (frame instanceof Frame.GroupLoads loads) {
            for (GroupLoad load : loads.groups()) {
                if (schedule.add(load) && load.measuredAt() >= newestLoadAt) {
                    newestLoadAt = load.measuredAt();
                    newestLoadReceivedAt = now;
                }
            }
        } else if (frame instanceof Frame.PlanReply reply) {
            if (reply.result().equals("NONE")) {
                acceptedPlans++;
            } else {
                rejectedPlans++;
                actions.log("plan-refused", "version " + reply.version() + " " + reply.result());
            }
        }
    }

    /** Connects, plans and checks time-outs as needed; called at each tick interval. */
    public void tick(long now, Actions actions) {
        if (state == State.DISCONNECTED && now >= nextConnectAt) {
            state = State.CONNECTING;
            lastReceivedAt = now;
            actions.connect();
            return;
        }
        if (state != State.DISCONNECTED && now - lastReceivedAt >= SILENCE_TIMEOUT_MICROS) {
            actions.log(
                    "silent", "no word from the edge for " + SILENCE_TIMEOUT_MICROS / 1000 + " ms");
            actions.close();
            connectionClosed(now, actions);
            return;
        }
        if (state != State.ESTABLISHED) {
            return;
        }
        // The edge's time is unknown until it has sent a load: by stored loads alone, old ones
        // would seem recent.
        if (now >= nextRoundAt && !schedule.isEmpty() && newestLoadReceivedAt != NEVER) {
            nextRoundAt = now + ROUND_INTERVAL_MICROS;
            plan(now, actions);
        }
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
            actions.send(new Frame.Heartbeat().encode());
        }
    }

    private void plan(long now, Actions actions) {
        // The edge's time as far as it is known, so that a step of the local clock does not change
        // the age of loads.
        long edgeNow = newestLoadAt + (now - newestLoadReceivedAt);
        List<GroupTargets> groups = new ArrayList<>();
        for (GroupLoad load : schedule.takeNext(edgeNow, GROUPS_PER_ROUND)) {
            groups.add(
                    planner.targetsFor(edgeNow, forecast == null ? load : forecast.forecast(load)));
        }
        if (!groups.isEmpty()) {
            version++;
            nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MICROS;
            actions.send(
                    new Frame.PlanOffer(new Plan(settings.localNumber(), version, groups))
                            .encode());
        }
    }

    /** µs between two calls of {@link #tick}. */
    public static long tickIntervalMicros() {
        return ROUND_INTERVAL_MICROS;
    }
}

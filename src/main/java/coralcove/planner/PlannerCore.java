package coralcove.planner;

import coralcove.GroupFacts;
import coralcove.GroupPlan;
import coralcove.Plan;
import coralcove.Planner;
import coralcove.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The planner of one router, without sockets and clock: it connects to its edge, hears facts, and
 * sends plans, some groups at a time. It may be ended at any moment: the edge holds the plan, and
 * what it has learnt comes again with the next facts. Its own clock counts only gaps and silences;
 * the age of facts is told by the edge's.
 */
public final class PlannerCore {
    /** What it does. */
    public interface Out {
        void connect();

        void send(byte[] bytes);

        void close();

        void log(String event, String detail);
    }

    /** µs between two turns of planning, and groups planned in one: 200 groups take a second. */
    private static final long TURN = 100_000;

    private static final int BUDGET = 24;

    /** µs: the first gap between two attempts to connect, and the longest. */
    private static final long GAP_FIRST = 100_000;

    private static final long GAP_LONGEST = 5_000_000;

    /** µs of silence after which the edge is taken for gone, and between two signs of life. */
    private static final long SILENT = 3_000_000;

    private static final long ALIVE = 1_000_000;

    /** Groups whose facts are kept at most. */
    public static final int MOST_GROUPS = 4096;

    private static final long NOT_HEARD = Long.MIN_VALUE;

    private enum State {
        APART,
        CONNECTING,
        GREETING,
        AGREED
    }

    private final Settings settings;
    private final Planner planner;
    private final RandomGenerator chance;
    private final long start;
    private final Schedule schedule;

    /** Null where loads are planned as they were counted. */
    private final Outlook outlook;

    private Frame.Framer framer = new Frame.Framer();
    private State state = State.APART;
    private long nextTry;
    private long gap = GAP_FIRST;
    private long heard;
    private long aliveAt;
    private long turnAt;
    private long version;
    private long newest = Long.MIN_VALUE;
    private long newestHeard = NOT_HEARD;
    private long taken;
    private long refused;

    public PlannerCore(Settings settings, long start, RandomGenerator chance) {
        this(settings, start, chance, false);
    }

    /**
     * With {@code ahead} it plans for the load to come where that is sure, not for the load
     * counted.
     */
    public PlannerCore(Settings settings, long start, RandomGenerator chance, boolean ahead) {
        this.settings = settings;
        this.start = start;
        this.chance = chance;
        planner = new Planner(settings);
        int[] widths = new int[2 * settings.services().size()];
        for (int i = 0; i < widths.length; i++) {
            widths[i] = settings.services().get(i / 2).width();
        }
        schedule = new Schedule(widths, MOST_GROUPS);
        long[] holds = new long[widths.length];
        Arrays.setAll(holds, i -> settings.services().get(i / 2).hold());
        outlook = ahead ? new Outlook(holds, MOST_GROUPS) : null;
    }

    public boolean agreed() {
        return state == State.AGREED;
    }

    /** Plans that the edge took, and refused. */
    public long[] counts() {
        return new long[] {taken, refused};
    }

    /**
     * Facts from a store: they are planned if they are still young once the edge has told its time.
     */
    public void learn(List<GroupFacts> facts) {
        for (GroupFacts each : facts) {
            if (schedule.told(each)) {
                newest = Math.max(newest, each.at());
            }
        }
        schedule.changed();
    }

    /** Facts told since this was last asked, for the store. */
    public List<GroupFacts> changed() {
        return schedule.changed();
    }

    public void connected(long now, Out out) {
        state = State.GREETING;
        framer = new Frame.Framer();
        heard = now;
        out.send(
                new Frame.Hello(
                                true,
                                settings.ownNumber(),
                                2 * settings.services().size(),
                                start,
                                version)
                        .bytes());
    }

    /** The connection has ended or could not be made. */
    public void closed(long now, Out out) {
        if (state == State.APART) {
            return;
        }
        state = State.APART;
        nextTry = now + gap / 2 + chance.nextLong(gap);
        gap = Math.min(GAP_LONGEST, 2 * gap);
        out.log("edge-gone", "next try in " + (nextTry - now) / 1000 + " ms");
    }

    public void read(long now, byte[] bytes, Out out) {
        if (state == State.APART) {
            return;
        }
        heard = now;
        try {
            for (byte[] each : framer.take(bytes)) {
                take(now, Frame.read(each), out);
                if (state == State.APART) {
                    return;
                }
            }
        } catch (Frame.Bad e) {
            out.log("bad-frame", e.getMessage());
            out.close();
            closed(now, out);
        }
    }

    private void take(long now, Frame frame, Out out) {
        if (frame instanceof Frame.Hello hello) {
            state = State.AGREED;
            gap = GAP_FIRST;
            // The edge refuses what is not newer: a planner that starts anew goes on where the last
            // one ended.
            version = Math.max(version, hello.version());
            aliveAt = now + ALIVE;
            turnAt = now;
            out.log(
                    "edge-here",
                    "start " + hello.start() + ", plan " + hello.version() + " in force");
        } else if (frame instanceof Frame.Refused no) {
            gap = GAP_LONGEST;
            out.log("turned-away", no.reason());
            out.close();
            closed(now, out);
        } else if (frame instanceof Frame.Facts facts) {
            for (GroupFacts each : facts.groups()) {
                if (schedule.told(each) && each.at() >= newest) {
                    newest = each.at();
                    newestHeard = now;
                }
            }
        } else if (frame instanceof Frame.Taken answer) {
            if (answer.refusal().equals("NONE")) {
                taken++;
            } else {
                refused++;
                out.log("plan-refused", "version " + answer.version() + " " + answer.refusal());
            }
        }
    }

    public void tick(long now, Out out) {
        if (state == State.APART && now >= nextTry) {
            state = State.CONNECTING;
            heard = now;
            out.connect();
            return;
        }
        if (state != State.APART && now - heard >= SILENT) {
            out.log("silent", "no word from the edge for " + SILENT / 1000 + " ms");
            out.close();
            closed(now, out);
            return;
        }
        if (state != State.AGREED) {
            return;
        }
        // Stored facts say nothing of the edge's time: it has to speak first, or old ones would
        // pass for young.
        if (now >= turnAt && !schedule.idle() && newestHeard != NOT_HEARD) {
            turnAt = now + TURN;
            plan(now, out);
        }
        if (now >= aliveAt) {
            aliveAt = now + ALIVE;
            out.send(new Frame.Alive().bytes());
        }
    }

    private void plan(long now, Out out) {
        // The edge's time, as far as it is known: a step of the own clock must not make facts old
        // or young.
        long edgeNow = newest + (now - newestHeard);
        List<GroupPlan> groups = new ArrayList<>();
        for (GroupFacts facts : schedule.next(edgeNow, BUDGET)) {
            groups.add(planner.of(edgeNow, outlook == null ? facts : outlook.ahead(facts)));
        }
        if (!groups.isEmpty()) {
            version++;
            aliveAt = now + ALIVE;
            out.send(new Frame.Planned(new Plan(settings.ownNumber(), version, groups)).bytes());
        }
    }

    /** µs between two looks of {@link #tick}. */
    public static long every() {
        return TURN;
    }
}

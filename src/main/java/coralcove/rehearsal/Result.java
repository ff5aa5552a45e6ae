package coralcove.rehearsal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.exchange.Stats;
import coralcove.judge.Verdict;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What a rehearsal came to: what the callers saw, and what the judge found. {@code cpu} is the
 * processor time of the whole process in µs, stand-ins and judge too; 0 in virtual time. {@code
 * numbers} counts what became of ported numbers at all routers, {@code zero} is the moment of the
 * day's start in the network's time: answered from memory, asked for, answered past their lifetime,
 * sent to the donor. {@code lastSent} has, a router and machine that drained or went, µs from its
 * being told to the last INVITE it sent there.
 */
public record Result(
        String day,
        String policy,
        long seed,
        boolean virtual,
        double seconds,
        double offered,
        Stats stats,
        Histogram added,
        long cpu,
        Map<String, Verdict> rules,
        long[] numbers,
        Histogram planAges,
        long zero,
        Histogram lastSent) {
    public double share() {
        return offered == 0 ? 0 : stats.valueServed / offered;
    }

    public boolean kept() {
        return rules.values().stream().allMatch(v -> v.broken() == 0);
    }

    public ObjectNode json() {
        ObjectNode out = new ObjectMapper().createObjectNode();
        out.put("day", day).put("policy", policy).put("seed", seed).put("virtual", virtual);
        out.put("sessions", stats.sessions)
                .put("final_answers", stats.finalAnswers)
                .put("stood", stats.stood);
        out.put("busy_replied", stats.busyReplied).put("terminated", stats.terminated);
        out.put("gave_up", stats.gaveUp).put("turned_away", stats.turnedAway).put("cut", stats.cut);
        out.put("value_offered", round(offered)).put("value_served", round(stats.valueServed));
        out.put("sessions_per_second", round(stats.sessions / seconds));
        out.put("added_p50_us", added.getValueAtPercentile(50))
                .put("added_p99_us", added.getValueAtPercentile(99));
        out.put("added_p999_us", added.getValueAtPercentile(99.9));
        out.put("set_up_p50_us", stats.setUp.getValueAtPercentile(50));
        out.put("set_up_p99_us", stats.setUp.getValueAtPercentile(99));
        out.put("set_up_p999_us", stats.setUp.getValueAtPercentile(99.9));
        out.put("cpu_us_a_session", stats.sessions == 0 ? 0 : cpu / stats.sessions);
        if (planAges.getTotalCount() > 0) {
            out.put("plan_age_p50_us", planAges.getValueAtPercentile(50));
            out.put("plan_age_p99_us", planAges.getValueAtPercentile(99));
        }
        if (lastSent.getTotalCount() > 0) {
            out.put("last_invite_after_off_p99_us", lastSent.getValueAtPercentile(99));
            out.put("last_invite_after_off_most_us", lastSent.getMaxValue());
        }
        if (numbers.length > 0) {
            out.putObject("ported")
                    .put("remembered", numbers[0])
                    .put("asked", numbers[1])
                    .put("stale", numbers[2])
                    .put("donor", numbers[3]);
        }
        ObjectNode all = out.putObject("rules");
        rules.forEach(
                (name, verdict) ->
                        all.putObject(name)
                                .put("checked", verdict.checked())
                                .put("broken", verdict.broken()));
        return out;
    }

    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}

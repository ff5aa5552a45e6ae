package coralcove.rehearsal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import coralcove.exchange.CallerStats;
import coralcove.judge.RuleResult;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The result of a run: the callers' statistics and the results of the rule checks. {@code cpuTime}
 * is the processor time in µs of the whole process, with simulated peers and rule checks; 0 in
 * virtual time. {@code startTime} is the start of the scenario in the network's time. {@code
 * portabilityCounts} counts lookups of ported numbers at all routers: answered from memory,
 * queried, answered past their time to live, sent to the donor exchange. {@code lastInviteDelays}
 * holds, for each router and each machine that drained or ended, the µs from the notification to
 * the last INVITE that the router sent there.
 */
public record ScenarioResult(
        String scenario,
        String policy,
        long seed,
        boolean virtualTime,
        double durationSeconds,
        double offeredValue,
        CallerStats stats,
        Histogram addedDelay,
        long cpuTime,
        Map<String, RuleResult> ruleResults,
        long[] portabilityCounts,
        Histogram planAges,
        long startTime,
        Histogram lastInviteDelays) {
    /** Share of the offered value that was served, 0 if none was offered. */
    public double servedShare() {
        return offeredValue == 0 ? 0 : stats.valueServed / offeredValue;
    }

    /** Whether no rule was broken. */
    public boolean allRulesKept() {
        return ruleResults.values().stream().allMatch(v -> v.broken() == 0);
    }

    /** Returns the summary as a JSON object; its fields are described in docs/operating.md. */
    public ObjectNode toJson() {
        ObjectNode summary = new ObjectMapper().createObjectNode();
        summary.put("day", scenario)
                .put("policy", policy)
                .put("seed", seed)
                .put("virtual", virtualTime);
        summary.put("sessions", stats.sessions)
                .put("final_answers", stats.finalAnswers)
                .put("stood", stats.established);
        summary.put("busy_replied", stats.busyReplied).put("terminated", stats.terminated);
        summary.put("gave_up", stats.abandoned)
                .put("turned_away", stats.rejectedLocally)
                .put("cut", stats.cutOff);
        summary.put("value_offered", round(offeredValue))
                .put("value_served", round(stats.valueServed));
        summary.put("sessions_per_second", round(stats.sessions / durationSeconds));
        summary.put("added_p50_us", addedDelay.getValueAtPercentile(50))
                .put("added_p99_us", addedDelay.getValueAtPercentile(99));
        summary.put("added_p999_us", addedDelay.getValueAtPercentile(99.9));
        summary.put("set_up_p50_us", stats.postDialDelay.getValueAtPercentile(50));
        summary.put("set_up_p99_us", stats.postDialDelay.getValueAtPercentile(99));
        summary.put("set_up_p999_us", stats.postDialDelay.getValueAtPercentile(99.9));
        summary.put("cpu_us_a_session", stats.sessions == 0 ? 0 : cpuTime / stats.sessions);
        if (planAges.getTotalCount() > 0) {
            summary.put("plan_age_p50_us", planAges.getValueAtPercentile(50));
            summary.put("plan_age_p99_us", planAges.getValueAtPercentile(99));
        }
        if (lastInviteDelays.getTotalCount() > 0) {
            summary.put("last_invite_after_off_p99_us", lastInviteDelays.getValueAtPercentile(99));
            summary.put("last_invite_after_off_most_us", lastInviteDelays.getMaxValue());
        }
        if (portabilityCounts.length > 0) {
            summary.putObject("ported")
                    .put("remembered", portabilityCounts[0])
                    .put("asked", portabilityCounts[1])
                    .put("stale", portabilityCounts[2])
                    .put("donor", portabilityCounts[3]);
        }
        ObjectNode rulesNode = summary.putObject("rules");
        ruleResults.forEach(
                (name, verdict) ->
                        rulesNode
                                .putObject(name)
                                .put("checked", verdict.checked())
                                .put("broken", verdict.broken()));
        return summary;
    }

    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}

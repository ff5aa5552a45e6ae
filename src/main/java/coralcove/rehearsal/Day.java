package coralcove.rehearsal;

import coralcove.Settings;
import coralcove.exchange.Arrival;
import coralcove.exchange.ExchangeSettings;
import coralcove.judge.Rules;
import coralcove.network.VirtualNetwork.Weather;
import coralcove.numbers.Porting;
import java.util.ArrayList;
import java.util.List;

/**
 * A day ready to be played: who is there, which groups join them, when which caller dials, what
 * goes wrong and when. Times are µs from the day's first moment; {@code groups[i][j]} are the
 * circuits between i and j. DNS names routers too where {@code dnsLife}, its records' life in
 * seconds, is above 0.
 */
public record Day(
        String name,
        long length,
        int[] zones,
        int[][] groups,
        List<List<Arrival>> arrivals,
        List<Service> services,
        ExchangeSettings.Work work,
        double[] speeds,
        ExchangeSettings.Callers callers,
        int hotLines,
        Late late,
        Rules rules,
        Router router,
        Weather weather,
        String transport,
        List<Trouble> troubles,
        List<String> unmapped,
        Numbers numbers,
        Planners planners,
        int directories,
        long dnsLife) {

    /** Directories of a day at most. */
    public static final int MOST_DIRECTORIES = 4;

    public record Service(
            String name,
            long target,
            long limit,
            double value,
            double lateValue,
            int width,
            long hold) {}

    /**
     * Callers dial numbers, which the routers make far ends of; null where callers name the far
     * end. {@code ported} is the share of numbers that only the portability server knows, {@code
     * lines} how many of them each exchange has, {@code beside} the prefixes of the table that
     * nobody calls; a new table comes each {@code replaceEvery} µs, 0 for never. The server answers
     * after {@code serverDelay} µs or so, for {@code life} seconds.
     */
    public record Numbers(
            double ported,
            int lines,
            int beside,
            long replaceEvery,
            long serverDelay,
            long life,
            int mostTables,
            Porting.Settings porting) {}

    /**
     * Planners in programs of their own; null for none. {@code ahead}: they plan for loads to come.
     */
    public record Planners(boolean ahead) {}

    /** How late the directory's news is, µs. */
    public record Late(long notice, long silence, long add) {}

    /** What routers are allowed. */
    public record Router(
            int invites,
            long comeBack,
            boolean peers,
            boolean redialsMarked,
            long answerMargin,
            int mostOpen) {}

    public int exchanges() {
        return zones.length;
    }

    /** The module's settings at exchange {@code number}. */
    public Settings settings(int number) {
        List<Settings.Service> list = new ArrayList<>();
        for (Service each : services) {
            list.add(
                    new Settings.Service(
                            each.target,
                            each.value,
                            each.lateValue,
                            each.width,
                            each.hold,
                            true,
                            List.of()));
        }
        return new Settings(
                exchanges(),
                number,
                false,
                list,
                router.invites,
                router.redialsMarked,
                router.comeBack > 0,
                router.comeBack,
                router.peers,
                true,
                rules.releaseWait(),
                rules.fallMultiple(),
                rules.fallWindow(),
                rules.coldFrom(),
                rules.warmUp());
    }

    /** The value of all first tries. */
    public double offered() {
        double sum = 0;
        for (List<Arrival> list : arrivals) {
            for (Arrival each : list) {
                sum += services.get(each.service()).value;
            }
        }
        return sum;
    }
}

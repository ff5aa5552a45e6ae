package coralcove.platform;

import coralcove.Ending;

/** What a router has counted since its start, for its log. */
final class Tally {
    long taken;
    long refused;
    long failed;
    long givenUp;
    long invites;
    long over;
    long cut;
    long toldStanding;
    long unreadable;
    long unusable;
    long spoilt;
    long late;
    long callersClosed;
    long crowded;
    long passedOn;
    long heard;
    private long stood;
    private long slowest;
    private long took;
    private final long[] endings = new long[Ending.values().length];

    void stood(long micros) {
        stood++;
        took += micros;
        slowest = Math.max(slowest, micros);
    }

    void ended(Ending ending) {
        endings[ending.ordinal()]++;
    }

    @Override
    public String toString() {
        StringBuilder out =
                new StringBuilder(
                        "taken "
                                + taken
                                + " stood "
                                + stood
                                + " refused "
                                + refused
                                + " failed "
                                + failed
                                + " given-up "
                                + givenUp
                                + " invites "
                                + invites
                                + " over "
                                + over
                                + " cut "
                                + cut
                                + " told-standing "
                                + toldStanding
                                + " unreadable "
                                + unreadable
                                + " unusable "
                                + unusable
                                + " spoilt "
                                + spoilt
                                + " late "
                                + late
                                + " callers-closed "
                                + callersClosed
                                + " crowded "
                                + crowded
                                + " passed-on "
                                + passedOn
                                + " heard "
                                + heard);
        out.append(" set-up-ms ")
                .append(stood == 0 ? 0 : took / stood / 1000)
                .append('/')
                .append(slowest / 1000);
        for (Ending ending : Ending.values()) {
            if (endings[ending.ordinal()] > 0) {
                out.append(' ').append(ending).append(' ').append(endings[ending.ordinal()]);
            }
        }
        slowest = 0;
        return out.toString();
    }
}

package coralcove.directory;

import coralcove.protocol.ListingText;
import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.dialog.CallFreeCore;
import coralcove.sip.event.Notifier;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import coralcove.sources.Listing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stand-in exchange directory: exchanges register with it, routers subscribe to it, and its
 * news is late. It knows only whether a processor runs. Its epoch is drawn at its start; until it
 * has been up for longer than a silence it says of its lists that they are learning, since it
 * cannot know who is missing.
 */
public final class DirectoryCore extends CallFreeCore {
    /** Its settings in µs: how late news of a drain or an end, of silence, and of a start is. */
    public record Late(long notice, long silence, long add) {}

    /** Exchanges it lists at most; a REGISTER past that is answered 503. */
    private static final int MOST = 10_000;

    /** µs past a silence until it knows all that run: two of their signs of life. */
    private static final long LEARNT_AFTER = 2_000_000;

    private static final class Entry {
        final long id;
        int number;
        long start = -1;
        long beat;
        String phase = "";

        /** On this clock; {@link Listing#LONG_AGO} for long ago. */
        long since;

        String address = "";
        long heard;
        long toldStart = -1;
        String toldPhase = "";
        String toldAddress = "";

        Entry(long id) {
            this.id = id;
        }

        String line(long now) {
            return ListingText.text(
                    id,
                    number,
                    toldPhase,
                    toldStart,
                    start == toldStart ? beat : 0,
                    since == Listing.LONG_AGO ? since : Math.max(0, now - since),
                    toldAddress);
        }
    }

    private final Hop self;
    private final Late late;
    private final String epoch;
    private final Notifier notifier;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private long version = 1;
    private boolean learning = true;

    /** {@code start} is its epoch too: small letters and digits, unlike any other start's. */
    public DirectoryCore(Hop self, Late late, String start) {
        super(self, start);
        this.self = self;
        this.late = late;
        epoch = start;
        notifier = new Notifier(agent, timers, "exchanges", start, this::state);
    }

    @Override
    public void start(long now, Out out) {
        out.log("directory", "", self + " epoch " + epoch);
        timers.set(now + late.silence + LEARNT_AFTER, this::learnt);
    }

    private void learnt(long now, Out out) {
        learning = false;
        version++;
        out.log("learnt", "", entries.size() + " exchanges");
        Notifier.State state = state(now);
        notifier.changed(now, state.tag(), state.text(), out);
    }

    private Notifier.State state(long now) {
        StringBuilder body =
                new StringBuilder(
                        ListingText.head(
                                epoch,
                                version,
                                learning ? Listing.Kind.LEARNING : Listing.Kind.WHOLE,
                                0));
        entries.values().stream()
                .filter(e -> e.toldPhase.equals("ready") || e.toldPhase.equals("draining"))
                .forEach(e -> body.append(e.line(now)).append('\n'));
        return new Notifier.State(tag(), body.toString());
    }

    private String tag() {
        return epoch + "." + version;
    }

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        switch (tx.request().method()) {
            case "REGISTER" -> register(now, tx, out);
            case "SUBSCRIBE" -> notifier.subscribe(now, tx, out);
            case "OPTIONS" -> agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
            default -> agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    /** X-Exchange: a line as it tells them; an exchange says ready, draining or left of itself. */
    private void register(long now, ServerTx tx, Out out) {
        Listing.Line line;
        try {
            line = ListingText.line(tx.request().header("X-Exchange", "").strip());
        } catch (IllegalArgumentException e) {
            agent.respond(now, tx, agent.reply(tx, 400, "Bad Request"), out);
            return;
        }
        if (line.life().silent() || entries.size() >= MOST && !entries.containsKey(line.id())) {
            agent.respond(
                    now, tx, agent.reply(tx, line.life().silent() ? 400 : 503, "Not taken"), out);
            return;
        }
        Entry entry = entries.computeIfAbsent(line.id(), Entry::new);
        SipMessage reply = agent.reply(tx, 200, "OK");
        boolean over =
                line.life().start() < entry.start
                        || line.life().start() == entry.start
                                && entry.phase.equals("left")
                                && !line.life().left();
        if (over) {
            // Its clock went back, or it said farewell: it must take a newer number of its start to
            // be believed.
            reply.add("X-Start", Long.toString(entry.start));
        }
        agent.respond(now, tx, reply, out);
        if (!over) {
            heard(now, entry, line);
        }
    }

    private void heard(long now, Entry entry, Listing.Line line) {
        boolean first = entry.start < 0;
        boolean newer = line.life().start() > entry.start;
        if (!newer && line.life().beat() <= entry.beat) {
            // Doubled or late on its way.
            return;
        }
        String phase = line.life().left() ? "left" : line.life().drains() ? "draining" : "ready";
        boolean news =
                newer || !phase.equals(entry.phase) || !line.life().address().equals(entry.address);
        if (newer) {
            entry.start = line.life().start();
            entry.since = line.age() == Listing.LONG_AGO ? line.age() : now - line.age();
        }
        entry.number = line.life().number();
        entry.beat = line.life().beat();
        entry.phase = phase;
        entry.address = line.life().address();
        entry.heard = now;
        if (news) {
            // The network's first lists are there from the start; what starts later is news, and
            // late.
            long wait =
                    first && line.age() == Listing.LONG_AGO
                            ? 0
                            : phase.equals("ready") ? late.add : late.notice;
            long start = entry.start;
            timers.set(now + wait, (at, o) -> tell(at, entry, start, phase, o));
        }
        timers.set(now + late.silence, (at, o) -> silent(at, entry, o));
    }

    private void silent(long now, Entry entry, Out out) {
        if (now - entry.heard >= late.silence
                && !entry.phase.equals("left")
                && !entry.phase.equals("silent")) {
            entry.phase = "silent";
            tell(now, entry, entry.start, entry.phase, out);
        }
    }

    private void tell(long now, Entry entry, long start, String phase, Out out) {
        if (start < entry.toldStart
                || start == entry.toldStart
                        && phase.equals(entry.toldPhase)
                        && entry.address.equals(entry.toldAddress)) {
            return;
        }
        entry.toldStart = start;
        entry.toldPhase = phase;
        entry.toldAddress = entry.address;
        long before = version++;
        String line = entry.line(now);
        out.log("change", "", line);
        notifier.changed(
                now,
                tag(),
                ListingText.head(epoch, version, Listing.Kind.CHANGES, before) + line + "\n",
                out);
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        // A router that missed a change sees the gap at the next one and asks anew.
        notifier.replied(tx, response);
    }
}

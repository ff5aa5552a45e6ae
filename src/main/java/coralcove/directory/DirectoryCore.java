package coralcove.directory;

import coralcove.sip.Hop;
import coralcove.sip.Out;
import coralcove.sip.SipMessage;
import coralcove.sip.SipUri;
import coralcove.sip.dialog.Agent;
import coralcove.sip.dialog.AgentCore;
import coralcove.sip.dialog.Call;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stand-in exchange directory: exchanges register with it, routers subscribe to it, and its news is late. It
 * knows only whether a processor runs. A whole list answers each SUBSCRIBE; changes follow by NOTIFY.
 */
public final class DirectoryCore extends AgentCore {
    /** Its settings in µs: how late news of a drain or an end, of silence, and of a start is. */
    public record Late(long notice, long silence, long add) {}

    /** Exchanges it lists at most; a REGISTER past that is answered 503. */
    private static final int MOST = 10_000;

    private static final class Entry {
        String line = "";
        String told = "";
        long heard;
    }

    private final Hop self;
    private final Late late;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<String, Hop> watchers = new TreeMap<>();
    private long version = 1;

    public DirectoryCore(Hop self, Late late, String start) {
        super(self, start);
        this.self = self;
        this.late = late;
    }

    @Override
    public void start(long now, Out out) {
        out.log("directory", "", self.toString());
    }

    @Override
    public void request(long now, ServerTx tx, Hop from, Out out) {
        switch (tx.request().method()) {
            case "REGISTER" -> register(now, tx, out);
            case "SUBSCRIBE" -> subscribe(now, tx, out);
            case "OPTIONS" -> agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
            default -> agent.respond(now, tx, agent.reply(tx, 405, "Method Not Allowed"), out);
        }
    }

    /** X-Exchange: "id number ready|draining since hop". */
    private void register(long now, ServerTx tx, Out out) {
        String line = tx.request().header("X-Exchange", "").strip();
        String[] parts = line.split(" ");
        boolean good = parts.length == 5 && parts[0].matches("\\d{1,18}") && parts[1].matches("\\d{1,5}")
                && parts[2].matches("ready|draining") && parts[3].matches("\\d{1,18}")
                && parts[4].matches("(udp|tcp):.+:\\d{1,5}");
        if (!good || entries.size() >= MOST && !entries.containsKey(Long.parseLong(parts[0]))) {
            agent.respond(now, tx, agent.reply(tx, good ? 503 : 400, good ? "Full" : "Bad Request"), out);
            return;
        }
        agent.respond(now, tx, agent.reply(tx, 200, "OK"), out);
        long id = Long.parseLong(parts[0]);
        boolean first = !entries.containsKey(id);
        Entry entry = entries.computeIfAbsent(id, n -> new Entry());
        entry.heard = now;
        if (!line.equals(entry.line)) {
            entry.line = line;
            // The network's first lists are there from the start; what starts later is news, and late.
            long wait = first && parts[3].equals("0") ? 0 : parts[2].equals("ready") ? late.add : late.notice;
            timers.set(now + wait, (at, o) -> tell(at, id, line, o));
        }
        timers.set(now + late.silence, (at, o) -> silent(at, id, o));
    }

    private void silent(long now, long id, Out out) {
        Entry entry = entries.get(id);
        if (now - entry.heard >= late.silence && !gone(entry.line)) {
            String[] parts = entry.line.split(" ");
            entry.line = parts[0] + " " + parts[1] + " gone " + parts[3] + " " + parts[4];
            tell(now, id, entry.line, out);
        }
    }

    private static boolean gone(String line) {
        return line.contains(" gone ");
    }

    private void tell(long now, long id, String line, Out out) {
        Entry entry = entries.get(id);
        if (line.equals(entry.told)) {
            return;
        }
        entry.told = line;
        long before = version++;
        out.log("change", "", line);
        String body = "version " + version + " changes after " + before + "\n" + line + "\n";
        watchers.values().forEach(watcher -> notify(now, watcher, body, out));
    }

    private void subscribe(long now, ServerTx tx, Out out) {
        SipUri contact = SipUri.of(tx.request().header("Contact", ""));
        if (contact == null || !tx.request().header("Event", "").equals("exchanges")) {
            agent.respond(now, tx, agent.reply(tx, 489, "Bad Event").add("Allow-Events", "exchanges"), out);
            return;
        }
        agent.respond(now, tx, agent.reply(tx, 200, "OK").add("Expires", tx.request().header("Expires", "60")), out);
        watchers.put(contact.hop().toString(), contact.hop());
        StringBuilder body = new StringBuilder("version " + version + " full\n");
        entries.values().stream().filter(e -> !e.told.isEmpty() && !gone(e.told))
                .forEach(e -> body.append(e.told).append('\n'));
        notify(now, contact.hop(), body.toString(), out);
    }

    private void notify(long now, Hop watcher, String body, Out out) {
        SipMessage notify = agent.request("NOTIFY", SipUri.text("", watcher)).add("Event", "exchanges")
                .add("Subscription-State", "active");
        agent.send(now, notify.body("text/plain", body.getBytes(StandardCharsets.UTF_8)), watcher, null, out);
    }

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        agent.reject(now, call, 405, "Method Not Allowed", out);
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        // It makes no calls.
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        // It makes no calls.
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost lost, Out out) {
        // It makes no calls.
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        // It answers at once.
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        // No call stands here.
    }

    @Override
    public void replied(long now, ClientTx tx, SipMessage response, Out out) {
        // A router that missed a change sees the gap at the next one and asks anew.
    }
}

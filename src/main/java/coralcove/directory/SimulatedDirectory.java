package coralcove.directory;

import coralcove.protocol.ExchangeListFormat;
import coralcove.sip.SipMessage;
import coralcove.sip.SipOutput;
import coralcove.sip.TransportAddress;
import coralcove.sip.dialog.InviteRejectingCore;
import coralcove.sip.event.Notifier;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
import coralcove.sources.DirectoryListing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The simulated exchange directory: exchanges register with it, routers subscribe to it, and its
 * notifications are delayed. It knows only whether a processor is running. Its epoch is new at each
 * start; until it has been up for longer than the silence time-out it marks its lists as learning,
 * because it cannot know which exchanges are missing.
 */
public final class SimulatedDirectory extends InviteRejectingCore {
    /**
     * Delays in µs until subscribers are notified: {@code drainOrLeave} after an exchange announced
     * it, {@code silenceTimeout} after the last REGISTER of a silent exchange, and {@code addition}
     * after a start.
     */
    public record NotificationDelays(long drainOrLeave, long silenceTimeout, long addition) {}

    /** Exchanges listed; a REGISTER past that is answered 503. */
    private static final int MAX_EXCHANGES = 10_000;

    /**
     * Time after the silence time-out until all running exchanges are known: two REGISTER
     * intervals.
     */
    private static final long LEARNING_MARGIN_MICROS = 2_000_000;

    /** What an exchange registered, and what subscribers were last notified of. */
    private static final class RegisteredExchange {
        final long id;
        int number;
        long startNumber = -1;
        long heartbeat;
        String phase = "";

        /**
         * When it was started, by the directory's clock; {@link DirectoryListing#LONG_AGO} if long
         * ago.
         */
        long startedAt;

        String address = "";
        long lastHeardAt;
        long notifiedStartNumber = -1;
        String notifiedPhase = "";
        String notifiedAddress = "";

        RegisteredExchange(long id) {
            this.id = id;
        }

        /** The exchange's line in a list, as subscribers know it. */
        String format(long now) {
            return ExchangeListFormat.formatLine(
                    id,
                    number,
                    notifiedPhase,
                    notifiedStartNumber,
                    startNumber == notifiedStartNumber ? heartbeat : 0,
                    startedAt == DirectoryListing.LONG_AGO
                            ? startedAt
                            : Math.max(0, now - startedAt),
                    notifiedAddress);
        }
    }

    private final TransportAddress address;
    private final NotificationDelays delays;
    private final String epoch;
    private final Notifier notifier;
    private final Map<Long, RegisteredExchange> exchanges = new LinkedHashMap<>();
    private long version = 1;
    private boolean learning = true;

    /**
     * {@code startTag} is also the epoch: lower-case letters and digits, different for each start.
     */
    public SimulatedDirectory(
            TransportAddress address, NotificationDelays delays, String startTag) {
        super(address, startTag);
        this.address = address;
        this.delays = delays;
        epoch = startTag;
        notifier = new Notifier(userAgent, timers, "exchanges", startTag, this::state);
    }

    @Override
    public void start(long now, SipOutput out) {
        out.log("directory", "", address + " epoch " + epoch);
        timers.schedule(now + delays.silenceTimeout + LEARNING_MARGIN_MICROS, this::endLearning);
    }

    private void endLearning(long now, SipOutput out) {
        learning = false;
        version++;
        out.log("learnt", "", exchanges.size() + " exchanges");
        Notifier.EventState state = state(now);
        notifier.notifySubscribers(now, state.entityTag(), state.body(), out);
    }

    private Notifier.EventState state(long now) {
        StringBuilder body =
                new StringBuilder(
                        ExchangeListFormat.formatHeader(
                                epoch,
                                version,
                                learning
                                        ? DirectoryListing.Kind.LEARNING
                                        : DirectoryListing.Kind.WHOLE,
                                0));
        exchanges.values().stream()
                .filter(
                        each ->
                                each.notifiedPhase.equals("ready")
                                        || each.notifiedPhase.equals("draining"))
                .forEach(each -> body.append(each.format(now)).append('\n'));
        return new Notifier.EventState(versionTag(), body.toString());
    }

    private String versionTag() {
        return epoch + "." + version;
    }

    @Override
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        switch (transaction.request().method()) {
            case "REGISTER" -> register(now, transaction, out);
            case "SUBSCRIBE" -> notifier.handleSubscribe(now, transaction, out);
            case "OPTIONS" ->
                    userAgent.respond(
                            now,
                            transaction,
                            userAgent.createResponse(transaction, 200, "OK"),
                            out);
            default ->
                    userAgent.respond(
                            now,
                            transaction,
                            userAgent.createResponse(transaction, 405, "Method Not Allowed"),
                            out);
        }
    }

    /**
     * Handles a REGISTER, whose X-Exchange header has the format of a list's line; an exchange
     * reports itself as ready, draining or left.
     */
    private void register(long now, ServerTransaction transaction, SipOutput out) {
        DirectoryListing.Entry line;
        try {
            line =
                    ExchangeListFormat.parseLine(
                            transaction.request().header("X-Exchange", "").strip());
        } catch (IllegalArgumentException e) {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(transaction, 400, "Bad Request"),
                    out);
            return;
        }
        if (line.liveness().isSilent()
                || exchanges.size() >= MAX_EXCHANGES && !exchanges.containsKey(line.id())) {
            userAgent.respond(
                    now,
                    transaction,
                    userAgent.createResponse(
                            transaction, line.liveness().isSilent() ? 400 : 503, "Not taken"),
                    out);
            return;
        }
        RegisteredExchange exchange = exchanges.computeIfAbsent(line.id(), RegisteredExchange::new);
        SipMessage reply = userAgent.createResponse(transaction, 200, "OK");
        boolean outdated =
                line.liveness().startNumber() < exchange.startNumber
                        || line.liveness().startNumber() == exchange.startNumber
                                && exchange.phase.equals("left")
                                && !line.liveness().left();
        if (outdated) {
            // Its clock went back, or it had left: it must register with a higher start number.
            reply.add("X-Start", Long.toString(exchange.startNumber));
        }
        userAgent.respond(now, transaction, reply, out);
        if (!outdated) {
            applyRegistration(now, exchange, line);
        }
    }

    private void applyRegistration(
            long now, RegisteredExchange exchange, DirectoryListing.Entry line) {
        boolean first = exchange.startNumber < 0;
        boolean newer = line.liveness().startNumber() > exchange.startNumber;
        if (!newer && line.liveness().heartbeat() <= exchange.heartbeat) {
            // A duplicate, or delayed in the network.
            return;
        }
        String phase =
                line.liveness().left() ? "left" : line.liveness().draining() ? "draining" : "ready";
        boolean changed =
                newer
                        || !phase.equals(exchange.phase)
                        || !line.liveness().address().equals(exchange.address);
        if (newer) {
            exchange.startNumber = line.liveness().startNumber();
            exchange.startedAt =
                    line.age() == DirectoryListing.LONG_AGO ? line.age() : now - line.age();
        }
        exchange.number = line.liveness().number();
        exchange.heartbeat = line.liveness().heartbeat();
        exchange.phase = phase;
        exchange.address = line.liveness().address();
        exchange.lastHeardAt = now;
        if (changed) {
            // Exchanges of the initial network are listed at once, later starts only after a delay.
            long wait =
                    first && line.age() == DirectoryListing.LONG_AGO
                            ? 0
                            : phase.equals("ready") ? delays.addition : delays.drainOrLeave;
            long startNumber = exchange.startNumber;
            timers.schedule(
                    now + wait, (at, o) -> notifyChange(at, exchange, startNumber, phase, o));
        }
        timers.schedule(now + delays.silenceTimeout, (at, o) -> checkSilence(at, exchange, o));
    }

    private void checkSilence(long now, RegisteredExchange exchange, SipOutput out) {
        if (now - exchange.lastHeardAt >= delays.silenceTimeout
                && !exchange.phase.equals("left")
                && !exchange.phase.equals("silent")) {
            exchange.phase = "silent";
            notifyChange(now, exchange, exchange.startNumber, exchange.phase, out);
        }
    }

    private void notifyChange(
            long now, RegisteredExchange exchange, long startNumber, String phase, SipOutput out) {
        if (startNumber < exchange.notifiedStartNumber
                || startNumber == exchange.notifiedStartNumber
                        && phase.equals(exchange.notifiedPhase)
                        && exchange.address.equals(exchange.notifiedAddress)) {
            return;
        }
        exchange.notifiedStartNumber = startNumber;
        exchange.notifiedPhase = phase;
        exchange.notifiedAddress = exchange.address;
        long previousVersion = version++;
        String line = exchange.format(now);
        out.log("change", "", line);
        notifier.notifySubscribers(
                now,
                versionTag(),
                ExchangeListFormat.formatHeader(
                                epoch, version, DirectoryListing.Kind.CHANGES, previousVersion)
                        + line
                        + "\n",
                out);
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        // A router that missed a change notices the gap at the next one and subscribes again.
        notifier.handleResponse(transaction, response);
    }
}

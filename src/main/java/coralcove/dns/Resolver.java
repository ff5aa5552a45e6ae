package coralcove.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A stub resolver without sockets and clock: questions, packets and times in, packets and answers
 * out. Each try has an id and a socket (so a port) by chance, and only what answers that question
 * to that socket from that server is heard; all else is counted and dropped (RFC 5452 section 9.1).
 * A cut answer is asked for again over TCP.
 */
public final class Resolver {
    /** Where a name server listens, on UDP and TCP alike. */
    public record Server(String host, int port) {}

    /** Times in µs; {@code sockets} is how many ports there are to choose from. */
    public record Settings(
            List<Server> servers, long tryFor, int tries, int sockets, int mostOut) {}

    /** How a question ended: an answer with records or none, or no usable answer. */
    public record Result(DnsMessage answer, String failure) {}

    /** What it does. */
    public interface Out {
        void datagram(int socket, Server to, byte[] bytes);

        /**
         * Opens a stream, writes this question in its two-byte frame, and hands back what is read
         * under {@code key}.
         */
        void stream(long key, Server to, byte[] bytes);

        void close(long key);

        void done(Object owner, Result result);
    }

    private static final class Question {
        final Object owner;
        final String name;
        final int type;
        int sent;
        int id;
        int socket;
        Server server;
        long until;
        long key;
        boolean stream;

        Question(Object owner, String name, int type) {
            this.owner = owner;
            this.name = name;
            this.type = type;
        }
    }

    /**
     * Tries to draw an id that is in use by no other question before it is given up: 65,536 are
     * plenty.
     */
    private static final int DRAWS = 8;

    /**
     * Failures in a row after which a server rests, and µs for how long: doubling up to the most.
     */
    private static final int FAILURES = 5;

    private static final long REST = 2_000_000;
    private static final long REST_MOST = 60_000_000;

    private static final class Health {
        int failures;
        long restsUntil;
    }

    private final Settings settings;
    private final RandomGenerator chance;
    private final Map<Server, Health> health = new HashMap<>();
    private final Map<Integer, Question> byId = new HashMap<>();
    private final Map<Long, Question> byStream = new HashMap<>();

    /** By moment and a number that makes moments differ. */
    private final TreeMap<Long, List<Question>> due = new TreeMap<>();

    private final Map<String, Long> counts = new TreeMap<>();
    private long streams;

    public Resolver(Settings settings, RandomGenerator chance) {
        this.settings = settings;
        this.chance = chance;
    }

    /** Asks; the result comes by {@link Out#done}, at once where too many questions are out. */
    public void ask(long now, String name, int type, Object owner, Out out) {
        if (byId.size() + byStream.size() >= settings.mostOut) {
            count("too-many");
            out.done(owner, new Result(null, "too many questions out"));
            return;
        }
        Question question = new Question(owner, name, type);
        next(now, question, "", out);
    }

    /** The next try, at the next server; after the last the question has failed. */
    private void next(long now, Question question, String why, Out out) {
        if (question.server != null) {
            failed(now, question.server);
        }
        forget(question, out);
        if (question.sent >= settings.tries) {
            count("failed");
            out.done(question.owner, new Result(null, why));
            return;
        }
        int id = chance.nextInt(1 << 16);
        for (int i = 0; i < DRAWS && byId.containsKey(id); i++) {
            id = chance.nextInt(1 << 16);
        }
        if (byId.containsKey(id)) {
            out.done(question.owner, new Result(null, "no id is free"));
            return;
        }
        question.id = id;
        question.socket = chance.nextInt(settings.sockets);
        question.server = server(now, question.sent);
        question.sent++;
        byId.put(id, question);
        arm(now + settings.tryFor, question);
        count("sent");
        out.datagram(
                question.socket,
                question.server,
                DnsMessage.question(id, question.name, question.type).bytes());
    }

    /** Servers in turn, but those that rest; the one whose turn it is where all do. */
    private Server server(long now, int turn) {
        int count = settings.servers.size();
        for (int i = 0; i < count; i++) {
            Server each = settings.servers.get((turn + i) % count);
            Health known = health.get(each);
            if (known == null || now >= known.restsUntil) {
                return each;
            }
        }
        return settings.servers.get(turn % count);
    }

    private void failed(long now, Server server) {
        Health it = health.computeIfAbsent(server, s -> new Health());
        it.failures++;
        if (it.failures >= FAILURES) {
            it.restsUntil = now + Math.min(REST_MOST, REST << Math.min(8, it.failures - FAILURES));
            count("rests");
        }
    }

    private void arm(long at, Question question) {
        question.until = at;
        due.computeIfAbsent(at, t -> new ArrayList<>()).add(question);
    }

    private void forget(Question question, Out out) {
        if (question.server == null) {
            return;
        }
        byId.remove(question.id, question);
        List<Question> at = due.get(question.until);
        if (at != null && at.remove(question) && at.isEmpty()) {
            due.remove(question.until);
        }
        if (question.stream) {
            byStream.remove(question.key);
            question.stream = false;
            out.close(question.key);
        }
    }

    /** A datagram came to one of the sockets. */
    public void datagram(long now, int socket, Server from, byte[] bytes, Out out) {
        // The id alone tells whose it may be, also of a packet that cannot be read further.
        Question question =
                bytes.length < 2 ? null : byId.get((bytes[0] & 255) << 8 | bytes[1] & 255);
        if (question == null || question.socket != socket || !question.server.equals(from)) {
            count("unasked");
            return;
        }
        heard(now, question, bytes, out);
    }

    /** A whole message came on a stream. */
    public void stream(long now, long key, byte[] bytes, Out out) {
        Question question = byStream.get(key);
        if (question == null) {
            count("unasked");
            return;
        }
        heard(now, question, bytes, out);
    }

    /** A stream could not be opened, or ended without an answer. */
    public void broken(long now, long key, Out out) {
        Question question = byStream.get(key);
        if (question != null) {
            next(now, question, "stream broken", out);
        }
    }

    private void heard(long now, Question question, byte[] bytes, Out out) {
        DnsMessage answer;
        try {
            answer = DnsMessage.read(bytes);
        } catch (BadDns e) {
            // Only who saw the question knows its id and port: the server itself is broken, the
            // next may not be.
            count("malformed");
            next(now, question, "malformed: " + e.getMessage(), out);
            return;
        }
        if (!answer.response()
                || answer.id() != question.id
                || !answer.name().equals(question.name)
                || answer.type() != question.type) {
            // Perhaps forged, perhaps the answer to another question: the right one may still come.
            count("other-question");
            return;
        }
        if (answer.truncated()) {
            if (question.stream) {
                next(now, question, "cut over a stream", out);
                return;
            }
            count("stream");
            forget(question, out);
            arm(now + settings.tryFor, question);
            question.key = ++streams;
            question.stream = true;
            byStream.put(question.key, question);
            out.stream(
                    question.key,
                    question.server,
                    DnsMessage.question(question.id, question.name, question.type).bytes());
            return;
        }
        if (answer.code() != DnsMessage.NO_ERROR && answer.code() != DnsMessage.NO_SUCH_NAME) {
            count("refused");
            next(now, question, "response code " + answer.code(), out);
            return;
        }
        forget(question, out);
        health.remove(question.server);
        count("answered");
        out.done(question.owner, new Result(answer, ""));
    }

    public void tick(long now, Out out) {
        while (!due.isEmpty() && due.firstKey() <= now) {
            List<Question> late = due.pollFirstEntry().getValue();
            for (Question question : late) {
                count("timed-out");
                next(now, question, "no answer", out);
            }
        }
    }

    /** When {@link #tick} is wanted next, Long.MAX_VALUE for never. */
    public long due() {
        return due.isEmpty() ? Long.MAX_VALUE : due.firstKey();
    }

    public int out() {
        return byId.size() + byStream.size();
    }

    /** What happened how often, by name. */
    public Map<String, Long> counts() {
        return counts;
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }
}

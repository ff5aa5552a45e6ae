import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of the second review, on loopback sockets and the JDK alone: the platform (configuration,
 * bulletin, start and signals), exchanges and callers. Each does what PROTOCOL.md and DEPLOY.md say
 * of a sound one; a case overrides a method where its disruption differs.
 */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Kit() {}

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void openRecord(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        note("TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    static void note(String line) {
        synchronized (Kit.class) {
            record.printf("%8.3f %s%n", now(), line);
        }
    }

    static void sleep(double seconds) {
        try {
            TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) (seconds * 1e6)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void after(double seconds, Runnable task) {
        TIMER.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        note("stand-in: " + e);
                    }
                },
                (long) (seconds * 1e6),
                TimeUnit.MICROSECONDS);
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return probe.getLocalPort();
        }
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread thread(String name, Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                // A socket of the stand-in has closed: this thread ends.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs a case; its result is the exit code: 1 broken, 0 held, 2 could not run. */
    interface Case {
        boolean broken() throws Exception;
    }

    static void main(String folder, Case body) throws IOException {
        openRecord(folder);
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Router::killAll));
        Thread watchdog =
                new Thread(
                        () -> {
                            sleep(115);
                            note("could not run: not done within 115 s");
                            Router.killAll();
                            Runtime.getRuntime().halt(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            code = body.broken() ? 1 : 0;
            note(code == 1 ? "RULE BROKEN" : "rule held");
        } catch (Throwable e) {
            note("could not run: " + e);
            e.printStackTrace();
        } finally {
            Router.killAll();
        }
        System.out.println(
                code == 1 ? "rule broken" : code == 0 ? "rule held" : "the case could not run");
        Runtime.getRuntime().halt(code);
    }

    // ---- the platform

    /** The list of exchanges as numbered events, over HTTP/1.1 with long polling. */
    static final class Bulletin {
        final ServerSocket server;
        private final List<String> events = new ArrayList<>();

        /** Whether it reads requests and answers none, also those read before. */
        volatile boolean silent;

        Bulletin() throws IOException {
            server = new ServerSocket(0, 100, InetAddress.getByName(HOST));
            thread(
                    "bulletin",
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            thread("bulletin-connection", () -> serve(socket));
                        }
                    });
        }

        String address() {
            return HOST + ":" + server.getLocalPort();
        }

        static String entry(
                String id, String address, int cell, String state, long startedMs) {
            return String.format(
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"sapporo\",\"kind\":\"single-core\","
                            + "\"cell\":%d,\"state\":\"%s\",\"weight\":1,\"started_ms\":%d}",
                    id, address, cell, state, startedMs);
        }

        synchronized void event(boolean full, String... entries) {
            int number = events.size() + 1;
            events.add(
                    String.format(
                            "{\"no\":%d,\"roster\":{\"version\":%d,\"full\":%b,\"servers\":[%s]}}",
                            number, number, full, String.join(",", entries)));
            note("bulletin event " + number + ": " + String.join(" ", entries));
            notifyAll();
        }

        /** The numbering starts anew with a start of the call router: one event, the whole list. */
        synchronized void restart(String... entries) {
            events.clear();
            event(true, entries);
        }

        synchronized String body(int after) {
            return String.format(
                    "{\"no\":%d,\"items\":[%s]}",
                    events.size(),
                    String.join(
                            ",", events.subList(Math.min(after, events.size()), events.size())));
        }

        private synchronized void await(int after, long ms) throws InterruptedException {
            long end = System.nanoTime() + ms * 1_000_000;
            while (events.size() <= after && end - System.nanoTime() > 1_000_000) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        socket.close();
                        return;
                    }
                    head.append((char) next);
                }
                String line = head.substring(0, head.indexOf("\r\n"));
                int after = number(line, "after=");
                boolean lost = silent;
                await(after, Math.min(5000, number(line, "patience=")));
                if (lost || silent) {
                    continue;
                }
                byte[] body = body(after).getBytes(StandardCharsets.UTF_8);
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                        + body.length
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                socket.getOutputStream().write(out.toByteArray());
            }
        }

        private static int number(String line, String name) {
            int from = line.indexOf(name) + name.length();
            int to = from;
            while (to < line.length() && Character.isDigit(line.charAt(to))) {
                to++;
            }
            return Integer.parseInt(line.substring(from, to));
        }
    }

    /** The call router as the platform starts it: by `run` of the deploy file, from the root. */
    static final class Router {
        private static final List<Router> ALL = Collections.synchronizedList(new ArrayList<>());
        final String name;
        final int port;
        final Path folder;
        Process process;
        int starts;

        Router(String name) throws IOException {
            this.name = name;
            port = freePort();
            folder = Files.createTempDirectory("router-" + name + "-");
            ALL.add(this);
        }

        /** Settings in the simulator's names and units, those of hokkaido-moves at a small size. */
        static String settings(String... changes) {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("@deadline", "9000000000");
            values.put("@connect_timeout", "500000000");
            values.put("@balancers", "4");
            values.put("@call_length", "12600000000,18900000000");
            for (int i = 0; i < changes.length; i += 2) {
                values.put(changes[i], changes[i + 1]);
            }
            String text =
                    "{'areas':['sapporo','asahikawa','kushiro'],'balancers':@balancers,"
                        + "'charges':{'late_fail':0.08,'peer':0.0071,'probe':0.0035,'waste':0.02},"
                        + "'classes':[{'aim':1500000000,'credit':1.0,'deadline':@deadline,"
                        + "'effect':'repeatable','group':'all','late_worth':0.1,"
                        + "'memory_span':5000000000,'name':'slot-lookup','stream':true},"
                        + "{'aim':1500000000,'credit':2.0,'deadline':@deadline,"
                        + "'effect':'repeatable','group':'all','late_worth':0.25,"
                        + "'memory_span':5000000000,'name':'slot-set','stream':true}],"
                        + "'clients':{'marks_retry':true},"
                        + "'contract':{'ask_within':10000000000,'cold_from':0.32,"
                        + "'fall_multiple':3.0,'grace_to_answer':20000000,"
                        + "'overload_for':1500000000,'stop_sending_within':1000000000,"
                        + "'warm_up':15000000000},'discovery':'pushed','family':'trunks',"
                        + "'family_info':{'allowed_pools':[],'call_length':[@call_length],"
                        + "'class_width':[1,1],'far_reports':'probe','layout':'mesh',"
                        + "'release_guard':300000000,'resend':500000000,'route_advice':false,"
                        + "'tells_wait':true,'this_node':0},'host_types':['single-core'],"
                        + "'limits':{'cancel':true,'conn_idle':600000000000,"
                        + "'connect_timeout':@connect_timeout,'cpu_us_per_request':0.0,"
                        + "'cpu_us_per_s':300000,'max_open':20000,'max_retry_after':2000000000,"
                        + "'may_probe':true,'peers':false,'retry_after':true,"
                        + "'second_copies':false,'streams_per_conn':1048576,'try_limit':4},"
                        + "'objective_mix':{'whole':0.4,'worst_class':0.2,'worst_tenant':0.0,"
                        + "'worst_window':0.4},'over_share_worth':0.1,'rank':0,"
                        + "'report':{'columns':['x0','x1','util','queue'],'how':'probe'},"
                        + "'round':5000000,'tenants':[],'tier':0,'tiers':['booking-exchanges'],"
                        + "'weights':'none','worth_by':'request','zone':0}";
            for (Map.Entry<String, String> each : values.entrySet()) {
                text = text.replace(each.getKey(), each.getValue());
            }
            return text.replace('\'', '"');
        }

        /** Writes the configuration and starts the process. */
        void start(Bulletin bulletin, String settings) throws IOException {
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    String.format(
                            "{\"name\":\"%s\",\"listen\":\"%s:%d\",\"seed\":\"8c1f30d27a5be9%02x\","
                                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},"
                                + "\"peers\":[],\"bulletin\":\"%s\",\"known\":%s,\"settings\":%s}",
                            name,
                            HOST,
                            port,
                            0x64 + starts++,
                            bulletin.address(),
                            bulletin.body(0),
                            settings));
            Path tmp = Files.createTempDirectory(folder, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", HOST + ":" + port);
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve("log.txt").toFile()));
            process = builder.start();
            note(name + " started, pid " + process.pid());
            Process started = process;
            process.onExit()
                    .thenRun(() -> note(name + " ended with status " + started.exitValue()));
        }

        static String deployLine(String key) throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith(key + " = \"")) {
                    int from = line.indexOf('"') + 1;
                    return line.substring(from, line.indexOf('"', from));
                }
            }
            throw new IOException("deploy/balancer.toml has no " + key);
        }

        void signal(String signal) throws Exception {
            note("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        Caller connect() throws IOException {
            return new Caller(this);
        }

        /** Waits until a test passes, as the front does before it takes in a call router. */
        void awaitReady() throws Exception {
            double end = now() + 30;
            while (now() < end && process.isAlive()) {
                try (Caller front = connect()) {
                    for (int i = 1; i < 100 && front.isOpen() && now() < end; i++) {
                        if (front.test(i)) {
                            note(name + " ready");
                            return;
                        }
                        sleep(0.1);
                    }
                } catch (IOException e) {
                    sleep(0.1);
                }
            }
            throw new IOException(name + " was not ready in 30 s");
        }

        /** The lines of its log with this word. */
        List<String> log(String word) throws IOException {
            List<String> found = new ArrayList<>();
            for (String line :
                    new String(
                                    Files.readAllBytes(folder.resolve("log.txt")),
                                    StandardCharsets.ISO_8859_1)
                            .split("\n")) {
                if (line.contains(word)) {
                    found.add(line);
                }
            }
            return found;
        }

        static void killAll() {
            for (Router router : ALL) {
                if (router.process != null) {
                    router.process.destroyForcibly();
                    try {
                        router.process.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
                try {
                    for (String line : router.log("")) {
                        note("log: " + line);
                    }
                } catch (IOException e) {
                    note("no log of " + router.name);
                }
                delete(router.folder.toFile());
            }
        }

        private static void delete(File file) {
            File[] inside = file.listFiles();
            if (inside != null) {
                for (File each : inside) {
                    delete(each);
                }
            }
            file.delete();
        }
    }

    // ---- exchanges

    /** A SIP message as text: start line, headers by lower-case name, body. */
    static final class Sip {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        String body = "";

        String method() {
            return startLine.startsWith("SIP/2.0")
                    ? ""
                    : startLine.substring(0, startLine.indexOf(' '));
        }

        int status() {
            return startLine.startsWith("SIP/2.0") ? Integer.parseInt(startLine.substring(8, 11)) : 0;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String id() {
            return header("Call-ID");
        }

        static Sip read(DataInputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            int matched = 0;
            while (matched < 4) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.write(next);
                matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
            }
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
            Sip message = new Sip();
            message.startLine = lines[0];
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                message.headers.put(
                        lines[i].substring(0, colon).trim().toLowerCase(),
                        lines[i].substring(colon + 1).trim());
            }
            byte[] body = new byte[Integer.parseInt(message.header("Content-Length"))];
            in.readFully(body);
            message.body = new String(body, StandardCharsets.ISO_8859_1);
            return message;
        }
    }

    /** An exchange: answers set-ups after a time, keeps calls for a time, then releases them. */
    static class Exchange {
        /** A leg: one set-up at this exchange, and the call that stands by it. */
        final class Leg {
            final String id;
            final Link link;
            final String cseq;
            final double at = now();
            boolean answered;
            boolean over;

            Leg(String id, Link link, String cseq) {
                this.id = id;
                this.link = link;
                this.cseq = cseq;
                circuits(-1);
            }

            /** Its circuit is free again. */
            void finish() {
                if (!over) {
                    over = true;
                    circuits(1);
                }
            }
        }

        /** A connection from the call router. */
        final class Link {
            final Socket socket;
            final DataInputStream in;

            Link(Socket socket) throws IOException {
                this.socket = socket;
                socket.setTcpNoDelay(true);
                in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            }

            boolean open() {
                return !socket.isClosed();
            }

            synchronized void send(String text) {
                try {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    close();
                }
            }

            void reset() {
                try {
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // Closed already.
                }
                close();
            }

            void close() {
                try {
                    socket.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }

        final String name;
        final int cell;
        final Random random;
        int port;
        ServerSocket server;
        final List<Link> links = Collections.synchronizedList(new ArrayList<>());
        final Map<String, List<Leg>> legs = new ConcurrentHashMap<>();
        final Map<String, String> unheardReleases =
                Collections.synchronizedMap(new LinkedHashMap<>());
        double answerAfter = 0.03;
        double meanHold = 12.6;
        int free = 200;
        int size = 200;
        private boolean reportDue;

        Exchange(String name, int cell) {
            this.name = name;
            this.cell = cell;
            random = new Random(name.hashCode());
        }

        String address() {
            return HOST + ":" + port;
        }

        String entry(String state, long startedMs) {
            return Bulletin.entry(name, address(), cell, state, startedMs);
        }

        void listen() throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(HOST, port), 100);
            port = server.getLocalPort();
            ServerSocket bound = server;
            thread(
                    name,
                    () -> {
                        while (true) {
                            Link link = new Link(bound.accept());
                            links.add(link);
                            thread(name + "-link", () -> serve(link));
                        }
                    });
        }

        /** Dies: stops listening, resets its connections; its calls are cut. */
        void die() throws IOException {
            note(name + " dies");
            server.close();
            for (Link link : List.copyOf(links)) {
                link.reset();
            }
            links.clear();
            for (List<Leg> each : legs.values()) {
                for (Leg leg : List.copyOf(each)) {
                    leg.finish();
                }
            }
        }

        String report() {
            return "x0:" + free + ";x1:" + size;
        }

        private void sendState(Link link) {
            link.send(
                    "NOTIFY sip:group@net SIP/2.0\r\nCall-ID: 0\r\nCSeq: 1 NOTIFY\r\nLink-State: "
                            + report()
                            + "\r\nContent-Length: 0\r\n\r\n");
        }

        /** The group's state comes unasked on the open connections, four at most, as it changes. */
        private synchronized void circuits(int change) {
            free += change;
            if (!reportDue) {
                reportDue = true;
                after(
                        0.02,
                        () -> {
                            synchronized (this) {
                                reportDue = false;
                            }
                            List.copyOf(links).stream().limit(4).forEach(this::sendState);
                        });
            }
        }

        private void serve(Link link) throws IOException {
            sendState(link);
            synchronized (unheardReleases) {
                unheardReleases.forEach((id, cause) -> sendBye(link, id, cause));
            }
            try {
                for (Sip message = Sip.read(link.in); message != null; message = Sip.read(link.in)) {
                    handle(link, message);
                }
            } catch (IOException | RuntimeException e) {
                // The connection has ended, or cannot be read: it is closed.
            } finally {
                links.remove(link);
                link.close();
                closed(link);
            }
        }

        /** The set-ups open on a connection are given up when it is closed. */
        void closed(Link link) {
            for (List<Leg> each : legs.values()) {
                for (Leg leg : List.copyOf(each)) {
                    if (leg.link == link && !leg.answered) {
                        leg.finish();
                    }
                }
            }
        }

        void handle(Link link, Sip message) {
            switch (message.method()) {
                case "INVITE" -> {
                    Leg leg = new Leg(message.id(), link, message.header("CSeq"));
                    legs.computeIfAbsent(leg.id, id -> Collections.synchronizedList(new ArrayList<>()))
                            .add(leg);
                    note(
                            name
                                    + " INVITE "
                                    + leg.id
                                    + " cseq "
                                    + leg.cseq
                                    + " within "
                                    + message.header("Answer-Within"));
                    invite(leg, message);
                }
                case "CANCEL" -> {
                    note(name + " CANCEL " + message.id());
                    for (Leg leg : legsOf(message.id())) {
                        if (!leg.answered) {
                            leg.finish();
                        }
                    }
                }
                case "BYE" -> {
                    note(name + " BYE " + message.id() + " from the call router");
                    respond(link, message.id(), message.header("CSeq"), "200 OK", "");
                    for (Leg leg : legsOf(message.id())) {
                        if (leg.answered) {
                            leg.finish();
                        }
                    }
                }
                case "OPTIONS" ->
                        respond(link, message.id(), message.header("CSeq"), "200 OK", "");
                case "" -> {
                    if (message.header("CSeq").endsWith("BYE")) {
                        unheardReleases.remove(message.id());
                    }
                }
                default -> {}
            }
        }

        List<Leg> legsOf(String id) {
            return List.copyOf(legs.getOrDefault(id, List.of()));
        }

        /** Takes a set-up: a sound exchange answers it a little later. */
        void invite(Leg leg, Sip message) {
            after(answerAfter, () -> answer(leg));
        }

        void answer(Leg leg) {
            if (!leg.over && leg.link.open()) {
                stand(leg);
                sendAnswer(leg);
            }
        }

        /** The call stands from now on; it ends after its hold time. */
        void stand(Leg leg) {
            leg.answered = true;
            double hold = hold(leg);
            after(hold, () -> end(leg));
        }

        double hold(Leg leg) {
            return -Math.log(1 - random.nextDouble()) * meanHold;
        }

        void sendAnswer(Leg leg) {
            String body =
                    hex(random.nextLong())
                            + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
            note(name + " 200 " + leg.id + " cseq " + leg.cseq);
            respond(leg.link, leg.id, leg.cseq, "200 OK", body);
        }

        void refuse(Leg leg, String status) {
            leg.finish();
            respond(leg.link, leg.id, leg.cseq, status, "");
        }

        /** The call has come to its end: released with cause 16. */
        void end(Leg leg) {
            if (leg.answered && !leg.over) {
                leg.finish();
                release(leg, "16");
            }
        }

        /** On the connection of its set-up, otherwise on any open one, else on the next one. */
        void release(Leg leg, String cause) {
            unheardReleases.put(leg.id, cause);
            Link to = leg.link.open() ? leg.link : null;
            synchronized (links) {
                for (Link each : links) {
                    to = to == null && each.open() ? each : to;
                }
            }
            if (to != null) {
                sendBye(to, leg.id, cause);
            } else {
                note(name + " holds back the release of " + leg.id + ": no connection is open");
            }
        }

        private void sendBye(Link link, String id, String cause) {
            note(name + " BYE " + id + " cause " + cause);
            link.send(
                    "BYE sip:"
                            + id
                            + "@net SIP/2.0\r\nVia: SIP/2.0/TCP exchange\r\nCall-ID: "
                            + id
                            + "\r\nCSeq: 9 BYE\r\nReason: Q.850;cause="
                            + cause
                            + "\r\nContent-Length: 0\r\n\r\n");
        }

        void respond(Link link, String id, String cseq, String status, String body) {
            link.send(
                    "SIP/2.0 "
                            + status
                            + "\r\nVia: SIP/2.0/TCP router\r\nCall-ID: "
                            + id
                            + "\r\nCSeq: "
                            + cseq
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }
    }

    // ---- callers

    /** What a caller has seen of one set-up; times in s since the start of the case, 0 for never. */
    static final class Call {
        final long id;
        final double sentAt = now();
        final double wait;
        volatile double answeredAt;
        volatile double endedAt;
        volatile int endCause;
        volatile int finals;
        volatile String description = "";

        Call(long id, double wait) {
            this.id = id;
            this.wait = wait;
        }

        boolean stands() {
            return answeredAt > 0 && endedAt == 0;
        }
    }

    /** All calls of the callers of this case; what ends a call may come on any of their connections. */
    static final Map<Long, Call> CALLS = new ConcurrentHashMap<>();

    private static final Random IDS = new Random(7);

    static synchronized long newId() {
        return IDS.nextLong();
    }

    static byte[] message(int type, long id, Object... parameters) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < parameters.length; i += 2) {
            byte[] value =
                    parameters[i + 1] instanceof byte[] bytes
                            ? bytes
                            : parameters[i + 1].toString().getBytes(StandardCharsets.UTF_8);
            out.write((Integer) parameters[i]);
            out.write(value.length >> 8);
            out.write(value.length);
            out.writeBytes(value);
        }
        return ByteBuffer.allocate(11 + out.size())
                .putShort((short) (9 + out.size()))
                .put((byte) type)
                .putLong(id)
                .put(out.toByteArray())
                .array();
    }

    static String description() {
        return hex(newId()) + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
    }

    /** A caller's connection to the call router. */
    static class Caller implements AutoCloseable {
        final Router router;
        final Socket socket = new Socket();
        private final Map<Long, Integer> tests = new ConcurrentHashMap<>();
        final Set<Long> open = Collections.synchronizedSet(new HashSet<>());
        volatile double lastUsedAt = now();

        Caller(Router router) throws IOException {
            this.router = router;
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, router.port), 2000);
            thread("caller", this::read);
        }

        boolean isOpen() {
            return !socket.isClosed();
        }

        synchronized void send(byte[] bytes) throws IOException {
            lastUsedAt = now();
            socket.getOutputStream().write(bytes);
        }

        boolean test(long id) throws IOException {
            tests.remove(id);
            send(message(52, id, 78, new byte[] {0}));
            double end = now() + 2;
            while (!tests.containsKey(id) && now() < end && isOpen()) {
                sleep(0.002);
            }
            return tests.getOrDefault(id, 0) == 1;
        }

        /** Sends a set-up. */
        Call setUp(int dest, double wait, boolean transit) throws IOException {
            Call call = new Call(newId(), wait);
            CALLS.put(call.id, call);
            open.add(call.id);
            note(
                    "caller set-up "
                            + hex(call.id)
                            + " dest "
                            + dest
                            + (transit ? " transit" : "")
                            + " wait "
                            + Math.round(wait * 1000));
            send(
                    message(
                            1,
                            call.id,
                            64,
                            "slot-lookup",
                            65,
                            Math.round(wait * 1000),
                            68,
                            hex(newId()),
                            69,
                            "dest:" + dest + ";width:1;via:-1" + (transit ? ";transit:1" : ""),
                            79,
                            description()));
            return call;
        }

        private void read() {
            try (DataInputStream in =
                    new DataInputStream(
                            new java.io.BufferedInputStream(socket.getInputStream()))) {
                while (true) {
                    byte[] body = new byte[in.readUnsignedShort()];
                    in.readFully(body);
                    ByteBuffer text = ByteBuffer.wrap(body);
                    int type = text.get() & 0xff;
                    long id = text.getLong();
                    Map<Integer, byte[]> parameters = new HashMap<>();
                    while (text.hasRemaining()) {
                        int code = text.get() & 0xff;
                        byte[] value = new byte[text.getShort() & 0xffff];
                        text.get(value);
                        parameters.put(code, value);
                    }
                    byte[] cause = parameters.get(78);
                    lastUsedAt = now();
                    received(type, id, cause == null ? 0 : cause[0] & 0xff, parameters);
                }
            } catch (IOException e) {
                close();
                closed();
            }
        }

        void closed() {}

        void received(int type, long id, int cause, Map<Integer, byte[]> parameters) {
            if (type == 53) {
                tests.put(id, cause);
                return;
            }
            Call call = CALLS.get(id);
            if (call == null) {
                note("caller got type " + type + " for the unknown id " + hex(id));
                return;
            }
            open.remove(id);
            if (type == 9) {
                call.finals++;
                call.answeredAt = now();
                call.description = new String(parameters.get(79), StandardCharsets.ISO_8859_1);
                note("caller answer " + hex(id));
            } else if (type == 12) {
                note("caller release " + hex(id) + " cause " + cause);
                if (call.answeredAt == 0 || call.endedAt > 0) {
                    call.finals++;
                }
                if (call.endedAt == 0) {
                    call.endedAt = now();
                    call.endCause = cause;
                }
                heard(id);
            }
        }

        /** A caller may say that it has heard a release; the page leaves it free. */
        void heard(long id) {
            try {
                send(message(16, id));
            } catch (IOException e) {
                close();
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }
}

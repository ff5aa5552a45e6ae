import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the temporary folder, the configuration of a small deployment,
 * and the router's process, which is started by the deploy file's command.
 */
abstract class Case {
    static final String LOOPBACK = "127.0.0.1";

    /** Whether the disruption is played. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Thrown if the case cannot run; it says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    private final long startedAt = System.currentTimeMillis();
    private final BufferedWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Path root;
    final Path temporary;
    Bulletin bulletin;
    final List<Exchange> exchanges = new ArrayList<>();
    int routerPort;

    Case(Path folder) throws IOException {
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        temporary = Files.createTempDirectory("case");
        // Also when the case is stopped from outside, no router stays behind.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> processes.forEach(Process::destroyForcibly), "end"));
    }

    /** Plays the case; returns the findings, each a broken rule. */
    abstract List<String> play() throws Exception;

    /** Plays a case and ends the program with its exit code. */
    static void run(Case played) {
        int code = 2;
        try {
            played.log("trouble " + (TROUBLE ? "on" : "off"));
            List<String> broken = played.play();
            broken.forEach(each -> played.log("BROKEN " + each));
            code = broken.isEmpty() ? 0 : 1;
            String verdict =
                    code == 0 ? "the rule held" : "the rule was broken, " + broken.size() + " times";
            played.log(verdict);
            System.out.println(verdict);
        } catch (Exception e) {
            played.log("could not run: " + e);
            e.printStackTrace();
        } finally {
            played.end();
        }
        System.exit(code);
    }

    static long now() {
        return System.currentTimeMillis();
    }

    /** Milliseconds since the case began. */
    long elapsed() {
        return now() - startedAt;
    }

    /** Writes a line with the time to the record. */
    void log(String line) {
        synchronized (record) {
            try {
                record.write(String.format("%8.3f %s%n", elapsed() / 1000.0, line));
                record.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    static void sleep(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, ms));
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return probe.getLocalPort();
        }
    }

    static Thread start(String name, ThrowingRunnable action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // The socket was closed, or the case is over.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** The exchanges numbered 1 to {@code count}; the router's own exchange has the number 0. */
    void openExchanges(int count) throws IOException {
        for (int number = 1; number <= count; number++) {
            exchanges.add(new Exchange(this, String.format("s-%08x", 0x1a0 + number), number, 0));
        }
        List<String> entries = new ArrayList<>();
        entries.add(Bulletin.entry("s-000001a0", LOOPBACK + ":" + freePort(), 0, "in_service", 0));
        exchanges.forEach(each -> entries.add(each.entry("in_service")));
        bulletin = new Bulletin(this);
        bulletin.publish(true, entries);
    }

    /** Writes the configuration of a router; each exchange has one. */
    Path configuration(String seed) throws IOException {
        String text =
                """
                {"name":"n0","listen":"127.0.0.1:%d","seed":"%s",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "bulletin":"127.0.0.1:%d",
                 "known":%s,
                 "settings":{
                  "areas":["sapporo","asahikawa","kushiro"],"balancers":%d,
                  "classes":[
                   {"name":"slot-lookup","aim":1500000000,"deadline":9000000000,"credit":1.0,
                    "late_worth":0.1,"effect":"repeatable","group":"all",
                    "memory_span":5000000000,"stream":true},
                   {"name":"slot-set","aim":1500000000,"deadline":9000000000,"credit":2.0,
                    "late_worth":0.25,"effect":"repeatable","group":"all",
                    "memory_span":5000000000,"stream":true}],
                  "clients":{"marks_retry":true},
                  "contract":{"ask_within":10000000000,"cold_from":0.32,"fall_multiple":3.0,
                   "grace_to_answer":20000000,"overload_for":1500000000,
                   "stop_sending_within":1000000000,"warm_up":15000000000},
                  "discovery":"pushed","family":"trunks",
                  "family_info":{"allowed_pools":[],"call_length":[12600000000,18900000000],
                   "class_width":[1,1],"far_reports":"probe","layout":"mesh",
                   "release_guard":300000000,"resend":500000000,"route_advice":false,
                   "tells_wait":true,"this_node":0},
                  "host_types":["single-core"],
                  "limits":{"cancel":true,"conn_idle":600000000000,"connect_timeout":500000000,
                   "cpu_us_per_request":0.0,"cpu_us_per_s":300000,"max_open":20000,
                   "max_retry_after":2000000000,"may_probe":true,"peers":false,
                   "retry_after":true,"second_copies":false,"streams_per_conn":1048576,
                   "try_limit":4},
                  "over_share_worth":0.1,"rank":0,
                  "report":{"columns":["free","size","load_share","depth"],"how":"probe"},
                  "round":5000000,"tenants":[],"tier":0,"tiers":["booking-exchanges"],
                  "weights":"none","worth_by":"request","zone":0}}
                """
                        .formatted(
                                routerPort,
                                seed,
                                bulletin.port(),
                                bulletin.allEvents(),
                                exchanges.size() + 1);
        Path file = temporary.resolve("config.json");
        Files.writeString(file, text);
        return file;
    }

    /** Starts the router with the run command of the deploy file. */
    Process startRouter(String seed) throws IOException {
        Path configuration = configuration(seed);
        String run =
                Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = \""))
                        .map(line -> line.substring(7, line.indexOf('"', 7)))
                        .findFirst()
                        .orElseThrow(() -> new CannotRun("no run command in the deploy file"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_NAME", "n0");
        builder.environment().put("BALANCER_LISTEN", LOOPBACK + ":" + routerPort);
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        log("router started, process " + process.pid());
        start(
                "log",
                () -> {
                    try (var lines = process.inputReader()) {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            log("router says " + line);
                        }
                    }
                    log("router ended, exit code " + process.waitFor());
                });
        return process;
    }

    /** Waits until the router has passed a test on this connection. */
    void awaitReady(Process router) throws Exception {
        long until = now() + 30_000;
        while (now() < until) {
            if (!router.isAlive()) {
                throw new CannotRun("the router ended at its start");
            }
            try (Callers.Connection front = new Callers.Connection(null, this, routerPort)) {
                if (front.test(500)) {
                    log("the router passed a test");
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            sleep(50);
        }
        throw new CannotRun("the router was not ready within 30 s");
    }

    private void end() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder: " + e.getMessage());
        }
    }
}

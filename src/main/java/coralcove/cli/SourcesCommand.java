package coralcove.cli;

import coralcove.config.BadConfig;
import coralcove.config.TomlSettings;
import coralcove.dns.transport.DnsClient;
import coralcove.edge.EdgeSettings;
import coralcove.edge.EdgeSettingsFile;
import coralcove.edge.SourceQueryCore;
import coralcove.network.LiveNetwork;
import coralcove.portability.RouterLocators;
import coralcove.sip.TransportAddress;
import coralcove.sources.Liveness;
import coralcove.sources.Roster;
import coralcove.sources.RosterEntry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Queries the directories and name servers of a router, and prints what each reports, the roster
 * that results, and the reason of each entry.
 */
@Command(
        name = "sources",
        mixinStandardHelpOptions = true,
        description =
                "Queries a router's directories and name servers, and prints their reports and the"
                        + " roster that results, with reasons.",
        footer = {
            "",
            "Uses a port of its own and changes nothing; the router need not be running.",
            "Example:",
            "  coralcove sources deploy/examples/edge-0.toml"
        })
final class SourcesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CONFIG", description = "the router's settings file, TOML")
    private Path config;

    @Option(
            names = "--wait",
            paramLabel = "MS",
            defaultValue = "1500",
            description = "time to wait for answers, in ms (default 1500)")
    private int wait;

    /** State of the core, copied on its thread. */
    private record Snapshot(
            List<Roster.SourceReport> reports,
            List<RosterEntry> roster,
            List<Roster.ListAuthority> authorities) {}

    @Override
    public Integer call() throws Exception {
        System.setProperty("coralcove.log", "WARN");
        TomlSettings toml = TomlSettings.read(config);
        if (!toml.has("edge")) {
            throw new BadConfig(config + ":1: [edge] is not in the file");
        }
        EdgeSettingsFile file = EdgeSettingsFile.of(toml);
        EdgeSettings router = file.settings();
        EdgeSettings settings =
                new EdgeSettings(
                        router.number(),
                        new TransportAddress(
                                false,
                                router.listenAddress().host(),
                                freePort(router.listenAddress().host())),
                        router.exchangeAddress(),
                        router.directories(),
                        router.policySettings(),
                        router.answerMargin(),
                        router.maxOpenSessions(),
                        router.seed(),
                        router.startTag());
        SourceQueryCore core = new SourceQueryCore(settings);
        try (LiveNetwork network = new LiveNetwork(null)) {
            network.addNode("sources", settings.listenAddress(), core, false);
            if (file.dns() != null) {
                RouterLocators.connect(
                        network,
                        "sources",
                        core,
                        file.dns(),
                        new DnsClient(file.dns().resolverSettings(), new SecureRandom()));
            }
            network.run(network.now() + wait * 1000L);
            CompletableFuture<Snapshot> result = new CompletableFuture<>();
            network.runOnNode(
                    "sources",
                    (now, out) -> {
                        List<Roster.ListAuthority> authorities = new ArrayList<>();
                        for (int i = 0; i < settings.directories().size(); i++) {
                            authorities.add(core.roster().listAuthority(now, i));
                        }
                        result.complete(
                                new Snapshot(
                                        core.roster().reports(),
                                        List.copyOf(core.roster().entries()),
                                        authorities));
                    });
            print(settings, result.get(wait + 5000L, TimeUnit.MILLISECONDS));
            return 0;
        }
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private static void print(EdgeSettings settings, Snapshot snapshot) {
        for (int i = 0; i < settings.directories().size(); i++) {
            String name = settings.directories().get(i).toString();
            System.out.println(
                    name
                            + (snapshot.authorities.get(i) == Roster.ListAuthority.NONE
                                    ? " says nothing"
                                    : " says"));
            for (Roster.SourceReport each : snapshot.reports) {
                if (each.source().equals(name)) {
                    Liveness life = each.liveness();
                    System.out.println(
                            "  "
                                    + each.id()
                                    + " number "
                                    + life.number()
                                    + " "
                                    + life.phase()
                                    + " start "
                                    + life.startNumber()
                                    + " sign "
                                    + life.heartbeat()
                                    + (life.isSilent() ? " silent" : "")
                                    + " at "
                                    + life.address());
                }
            }
        }
        System.out.println("believed");
        snapshot.roster.stream()
                .sorted(
                        Comparator.comparingInt((RosterEntry b) -> b.exchange().number())
                                .thenComparingLong(b -> b.exchange().id()))
                .forEach(
                        each ->
                                System.out.println(
                                        "  number "
                                                + each.exchange().number()
                                                + " is "
                                                + each.exchange().id()
                                                + " "
                                                + each.exchange().phase()
                                                + " at "
                                                + each.routerAddress()
                                                + ": "
                                                + each.reason()));
    }
}

package coralcove.dns.transport;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.dns.DnsMessage;
import coralcove.dns.EnumRecords;
import coralcove.dns.Resolver;
import coralcove.dns.SimulatedDnsServer;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Client and simulated server on loopback sockets. */
class DnsClientTest {
    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static SimulatedDnsServer newServer() {
        return new SimulatedDnsServer(
                "e164.arpa",
                digits -> digits.startsWith("819") ? "81" + digits.charAt(3) : null,
                60,
                1000,
                new SplittableRandom(1));
    }

    private static String queryPortability(DnsClient client, String digits) throws Exception {
        CompletableFuture<Resolver.Result> future = new CompletableFuture<>();
        client.query(
                EnumRecords.domainName(digits, "e164.arpa"), DnsMessage.NAPTR, future::complete);
        Resolver.Result result = future.get(20, TimeUnit.SECONDS);
        return result.response() == null
                ? result.failure()
                : EnumRecords.readPortability(result.response(), digits).routing();
    }

    @Test
    void queriesOverUdpAndTcp() throws Exception {
        int port = freePort();
        Resolver.Settings settings =
                new Resolver.Settings(
                        List.of(new Resolver.Server("127.0.0.1", port)), 2_000_000, 2, 4, 1000);
        try (DnsServer server = new DnsServer("127.0.0.1", port, newServer());
                DnsClient client = new DnsClient(settings, new SecureRandom())) {
            assertThat(queryPortability(client, "8197")).isEqualTo("817");
            assertThat(queryPortability(client, "8200")).isEmpty();
            server.injectFault(SimulatedDnsServer.Fault.TRUNCATED_DATAGRAMS, 0);
            assertThat(queryPortability(client, "8196")).isEqualTo("816");
            server.injectFault(SimulatedDnsServer.Fault.SERVER_FAILURE, 0);
            assertThat(queryPortability(client, "8196")).isEqualTo("response code 2");
            server.injectFault(SimulatedDnsServer.Fault.NONE, 0);
            List<CompletableFuture<Resolver.Result>> futures = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                CompletableFuture<Resolver.Result> future = new CompletableFuture<>();
                client.query(
                        EnumRecords.domainName("819" + i, "e164.arpa"),
                        DnsMessage.NAPTR,
                        future::complete);
                futures.add(future);
            }
            for (CompletableFuture<Resolver.Result> future : futures) {
                assertThat(future.get(20, TimeUnit.SECONDS).response()).isNotNull();
            }
        }
    }

    @Test
    void failsQueryWhenNoServerListens() throws Exception {
        Resolver.Settings settings =
                new Resolver.Settings(
                        List.of(new Resolver.Server("127.0.0.1", freePort())), 50_000, 2, 4, 10);
        try (DnsClient client = new DnsClient(settings, new SecureRandom())) {
            assertThat(queryPortability(client, "8197")).isEqualTo("no answer");
        }
    }
}

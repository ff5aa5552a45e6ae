package coralcove.dns.transport;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.dns.DnsMessage;
import coralcove.dns.DnsStandIn;
import coralcove.dns.Enum;
import coralcove.dns.Resolver;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Client and stand-in server on loopback sockets. */
class DnsClientTest {
    private static int port() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static DnsStandIn server() {
        return new DnsStandIn(
                "e164.arpa",
                digits -> digits.startsWith("819") ? "81" + digits.charAt(3) : null,
                60,
                1000,
                new SplittableRandom(1));
    }

    private static String ask(DnsClient client, String digits) throws Exception {
        CompletableFuture<Resolver.Result> done = new CompletableFuture<>();
        client.ask(Enum.name(digits, "e164.arpa"), DnsMessage.NAPTR, done::complete);
        Resolver.Result result = done.get(20, TimeUnit.SECONDS);
        return result.answer() == null
                ? result.failure()
                : Enum.ported(result.answer(), digits).routing();
    }

    @Test
    void asksOverDatagramsAndStreams() throws Exception {
        int port = port();
        Resolver.Settings settings =
                new Resolver.Settings(
                        List.of(new Resolver.Server("127.0.0.1", port)), 2_000_000, 2, 4, 1000);
        try (DnsServer server = new DnsServer("127.0.0.1", port, server());
                DnsClient client = new DnsClient(settings, new SecureRandom())) {
            assertThat(ask(client, "8197")).isEqualTo("817");
            assertThat(ask(client, "8200")).isEmpty();
            server.misbehave(DnsStandIn.Fault.CUTS, 0);
            assertThat(ask(client, "8196")).isEqualTo("816");
            server.misbehave(DnsStandIn.Fault.FAILS, 0);
            assertThat(ask(client, "8196")).isEqualTo("response code 2");
            server.misbehave(DnsStandIn.Fault.NONE, 0);
            List<CompletableFuture<Resolver.Result>> all = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                CompletableFuture<Resolver.Result> done = new CompletableFuture<>();
                client.ask(Enum.name("819" + i, "e164.arpa"), DnsMessage.NAPTR, done::complete);
                all.add(done);
            }
            for (CompletableFuture<Resolver.Result> each : all) {
                assertThat(each.get(20, TimeUnit.SECONDS).answer()).isNotNull();
            }
        }
    }

    @Test
    void nobodyListensAndTheQuestionEnds() throws Exception {
        Resolver.Settings settings =
                new Resolver.Settings(
                        List.of(new Resolver.Server("127.0.0.1", port())), 50_000, 2, 4, 10);
        try (DnsClient client = new DnsClient(settings, new SecureRandom())) {
            assertThat(ask(client, "8197")).isEqualTo("no answer");
        }
    }
}

package coralcove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.directory.SimulatedDirectory;
import coralcove.dns.ServiceZone;
import coralcove.dns.SimulatedDnsServer;
import coralcove.dns.transport.DnsServer;
import coralcove.network.LiveNetwork;
import coralcove.sip.SipMessage;
import coralcove.sip.SipParser;
import coralcove.sip.TransportAddress;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Queries a directory with one exchange and a name server with another over loopback sockets. */
class SourcesCommandTest {
    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    @Test
    void printsReportsOfEachSourceAndTheResultingRoster(@TempDir Path folder) throws Exception {
        int directory = freePort();
        int nameServer = freePort();
        int silentDirectory = freePort();
        ServiceZone zone =
                new ServiceZone("example.org", 60)
                        .addSrv("_sip._udp.ex1.example.org", 1, 1, "h.example.org", 5099)
                        .addSrv("_sip._udp.ex2.example.org", 1, 1, "h.example.org", 5062)
                        .addAddress("h.example.org", 127, 0, 0, 1);
        Path config = folder.resolve("edge.toml");
        Files.writeString(
                config,
                Files.readString(Path.of("deploy/examples/edge-0.toml"))
                        .replace(
                                "directory = \"udp:127.0.0.1:15080\"",
                                "directory = [\"udp:127.0.0.1:"
                                        + directory
                                        + "\", \"udp:127.0.0.1:"
                                        + silentDirectory
                                        + "\"]")
                        .replace(
                                "[limits]",
                                "[dns]\nservers = \"127.0.0.1:"
                                        + nameServer
                                        + "\"\nname = \"ex%d.example.org\"\n"
                                        + "numbers = [0, 1, 2]\n\n[limits]"));
        PrintStream out = System.out;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (LiveNetwork network = new LiveNetwork(null);
                DnsServer server =
                        new DnsServer(
                                "127.0.0.1",
                                nameServer,
                                new SimulatedDnsServer(zone, 1000, new SplittableRandom(1)))) {
            assertThat(server).isNotNull();
            TransportAddress at = new TransportAddress(false, "127.0.0.1", directory);
            network.addNode(
                    "directory",
                    at,
                    new SimulatedDirectory(
                            at, new SimulatedDirectory.NotificationDelays(0, 60_000_000, 0), "e"),
                    false);
            register(directory);
            System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            assertThat(Commands.run(new String[] {"sources", config.toString(), "--wait", "4000"}))
                    .isZero();
        } finally {
            System.setOut(out);
        }
        assertThat(
                        bytes.toString(StandardCharsets.UTF_8)
                                .replace(Integer.toString(directory), "DIRECTORY")
                                .replace(Integer.toString(silentDirectory), "DEAD")
                                // The directory's list may arrive before or after the DNS answer
                                // for number 1, which is given an id of its own.
                                .replaceAll("is -[12] READY", "is -N READY"))
                .isEqualTo(
                        """
                        udp:127.0.0.1:DIRECTORY says
                          101 number 1 READY start 7 sign 1 at udp:127.0.0.1:5061
                        udp:127.0.0.1:DEAD says nothing
                        believed
                          number 1 is 101 READY at udp:127.0.0.1:5061: LISTED
                          number 2 is -N READY at udp:127.0.0.1:5062: DNS_ONLY
                        """);
    }

    /** Registers an exchange; repeats the request, as the directory may not be reading yet. */
    private static void register(int directory) throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            socket.setSoTimeout(200);
            byte[] text =
                    SipMessage.request("REGISTER", "sip:127.0.0.1:" + directory)
                            .add(
                                    "Via",
                                    "SIP/2.0/UDP 127.0.0.1:"
                                            + socket.getLocalPort()
                                            + ";rport;branch=z9hG4bKr")
                            .add("Max-Forwards", "70")
                            .add("From", "<sip:x>;tag=f")
                            .add("To", "<sip:d>")
                            .add("Call-ID", "r")
                            .add("CSeq", "1 REGISTER")
                            .add("X-Exchange", "101 1 ready 7 1 - udp:127.0.0.1:5061")
                            .encode();
            byte[] read = new byte[2000];
            for (int i = 0; i < 50; i++) {
                socket.send(
                        new DatagramPacket(
                                text, text.length, InetAddress.getByName("127.0.0.1"), directory));
                try {
                    DatagramPacket answer = new DatagramPacket(read, read.length);
                    socket.receive(answer);
                    assertThat(SipParser.parse(read, 0, answer.getLength()).status())
                            .isEqualTo(200);
                    return;
                } catch (java.net.SocketTimeoutException e) {
                    // Sent again.
                }
            }
            throw new AssertionError("the directory did not answer");
        }
    }
}

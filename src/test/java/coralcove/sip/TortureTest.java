package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.dialog.Agent;
import coralcove.sip.dialog.Call;
import coralcove.sip.transaction.ClientTx;
import coralcove.sip.transaction.ServerTx;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Malformed and unusual but legal messages in the manner of RFC 4475, each with its expected
 * verdict: accepted ("good"), dropped, or answered with a status.
 */
class TortureTest implements Out, Agent.User {
    private final List<String> sent = new ArrayList<>();

    @TestFactory
    List<DynamicTest> givesExpectedVerdicts() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        try (InputStream in = TortureTest.class.getResourceAsStream("/sip/torture.txt")) {
            String allMessages = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            for (String each : allMessages.split("(?m)^=== ")) {
                if (!each.isBlank()) {
                    int line = each.indexOf('\n');
                    String[] title = each.substring(0, line).split(" \\| ");
                    tests.add(
                            DynamicTest.dynamicTest(
                                    title[0], () -> check(title[1], each.substring(line + 1))));
                }
            }
        }
        assertThat(tests).hasSizeGreaterThanOrEqualTo(60);
        return tests;
    }

    /** A message of the resource file with CRLF line ends. */
    static byte[] toWireFormat(String text) {
        int body = text.indexOf("\n\n");
        String head = body < 0 ? text : text.substring(0, body + 1);
        String bodyText = body < 0 ? "" : text.substring(body + 2, text.length() - 1);
        return (head.replace("\n", "\r\n") + "\r\n" + bodyText).getBytes(StandardCharsets.UTF_8);
    }

    private void check(String verdict, String text) {
        byte[] bytes = toWireFormat(text);
        sent.clear();
        Agent userAgent = new Agent(new Hop(false, "h", 1), new Timers(), "s", this);
        String found;
        try {
            SipMessage message = SipParser.parse(bytes, 0, bytes.length);
            found = "good";
            // An accepted message is the same after encoding and parsing.
            byte[] encoded = message.bytes();
            SipMessage reparsed = SipParser.parse(encoded, 0, encoded.length);
            assertThat(reparsed.bytes()).isEqualTo(encoded);
            assertThat(reparsed.body()).isEqualTo(message.body());
        } catch (BadMessage e) {
            userAgent.malformed(0, new Hop(false, "h", 2), e, this);
            found =
                    sent.isEmpty()
                            ? e.partialMessage() == null
                                            || e.partialMessage().header("Via") == null
                                            || Via.of(e.partialMessage().header("Via")) == null
                                            || !e.partialMessage().isRequest()
                                    ? "drop"
                                    : "400-short"
                            : String.join(",", sent);
        }
        assertThat(found).isEqualTo(verdict);
    }

    @Override
    public void send(Hop to, SipMessage message) {
        sent.add(Integer.toString(message.status()));
    }

    @Override
    public void log(String event, String session, String detail) {
        // Only the response matters to the verdict.
    }

    @Override
    public void invited(long now, Call call, Hop from, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void progressed(long now, Call call, SipMessage response, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void answered(long now, Call call, SipMessage response, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void rejected(long now, Call call, SipMessage response, Agent.Lost failure, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void cancelled(long now, Call call, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void hungUp(long now, Call call, SipMessage bye, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void request(long now, ServerTx transaction, Hop from, Out out) {
        throw new IllegalStateException();
    }

    @Override
    public void replied(long now, ClientTx transaction, SipMessage response, Out out) {
        throw new IllegalStateException();
    }
}

package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.dialog.Call;
import coralcove.sip.dialog.UserAgent;
import coralcove.sip.transaction.ClientTransaction;
import coralcove.sip.transaction.ServerTransaction;
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
class TortureTest implements SipOutput, UserAgent.Application {
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
        UserAgent userAgent =
                new UserAgent(new TransportAddress(false, "h", 1), new TimerWheel(), "s", this);
        String found;
        try {
            SipMessage message = SipParser.parse(bytes, 0, bytes.length);
            found = "good";
            // An accepted message is the same after encoding and parsing.
            byte[] encoded = message.encode();
            SipMessage reparsed = SipParser.parse(encoded, 0, encoded.length);
            assertThat(reparsed.encode()).isEqualTo(encoded);
            assertThat(reparsed.body()).isEqualTo(message.body());
        } catch (MalformedMessageException e) {
            userAgent.malformedReceived(0, new TransportAddress(false, "h", 2), e, this);
            found =
                    sent.isEmpty()
                            ? e.partialMessage() == null
                                            || e.partialMessage().header("Via") == null
                                            || Via.parse(e.partialMessage().header("Via")) == null
                                            || !e.partialMessage().isRequest()
                                    ? "drop"
                                    : "400-short"
                            : String.join(",", sent);
        }
        assertThat(found).isEqualTo(verdict);
    }

    @Override
    public void send(TransportAddress to, SipMessage message) {
        sent.add(Integer.toString(message.status()));
    }

    @Override
    public void log(String event, String session, String detail) {
        // Only the response matters to the verdict.
    }

    @Override
    public void callReceived(long now, Call call, TransportAddress from, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void provisionalReceived(long now, Call call, SipMessage response, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void callAnswered(long now, Call call, SipMessage response, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void callFailed(
            long now,
            Call call,
            SipMessage response,
            UserAgent.CallFailure failure,
            SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void callCancelled(long now, Call call, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void callEnded(long now, Call call, SipMessage bye, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void requestReceived(
            long now, ServerTransaction transaction, TransportAddress from, SipOutput out) {
        throw new IllegalStateException();
    }

    @Override
    public void responseReceived(
            long now, ClientTransaction transaction, SipMessage response, SipOutput out) {
        throw new IllegalStateException();
    }
}

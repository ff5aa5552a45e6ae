package coralcove.sip;

import static org.assertj.core.api.Assertions.assertThat;

import coralcove.sip.oracle.SipBaseListener;
import coralcove.sip.oracle.SipLexer;
import coralcove.sip.oracle.SipParser.CallIdContext;
import coralcove.sip.oracle.SipParser.CseqContext;
import coralcove.sip.oracle.SipParser.MethodContext;
import coralcove.sip.oracle.SipParser.OtherContext;
import coralcove.sip.oracle.SipParser.RequestContext;
import coralcove.sip.oracle.SipParser.ViaParmContext;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.antlr.v4.runtime.BailErrorStrategy;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.ParseTreeWalker;
import org.junit.jupiter.api.Test;

/**
 * Compares {@link SipParser} with a parser generated from the grammar of RFC 3261 section 25: every
 * legal message is accepted with the same contents, except for stated limits.
 */
class GrammarOracleTest {
    /**
     * The contents of a message by the grammar, in the format of {@link #describe}; null if it is
     * not legal.
     */
    private static List<String> parseWithGrammar(byte[] bytes) {
        SipLexer lexer =
                new SipLexer(
                        CharStreams.fromString(new String(bytes, StandardCharsets.ISO_8859_1)));
        lexer.removeErrorListeners();
        var parser = new coralcove.sip.oracle.SipParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.setErrorHandler(new BailErrorStrategy());
        List<String> found = new ArrayList<>();
        try {
            ParseTreeWalker.DEFAULT.walk(
                    new SipBaseListener() {
                        @Override
                        public void enterRequest(RequestContext request) {
                            found.add("uri " + request.uri().getText());
                        }

                        @Override
                        public void enterViaParm(ViaParmContext via) {
                            found.add("via " + via.sentBy().host().getText());
                        }

                        @Override
                        public void enterCallId(CallIdContext callId) {
                            String text = callId.getText();
                            found.add("call " + text.substring(text.indexOf(':') + 1).strip());
                        }

                        @Override
                        public void enterCseq(CseqContext cseq) {
                            MethodContext method = cseq.method();
                            found.add(
                                    "cseq "
                                            + new java.math.BigInteger(
                                                    String.join(
                                                            "",
                                                            cseq.digit().stream()
                                                                    .map(d -> d.getText())
                                                                    .toList()))
                                            + " "
                                            + method.getText());
                        }

                        @Override
                        public void enterOther(OtherContext other) {
                            found.add(
                                    "other "
                                            + other.otherName()
                                                    .getText()
                                                    .toLowerCase(java.util.Locale.ROOT));
                        }
                    },
                    parser.message());
            return found.stream().sorted().toList();
        } catch (ParseCancellationException e) {
            return null;
        }
    }

    private static final List<String> COMPARED_SEPARATELY =
            List.of("Via", "From", "To", "Call-ID", "CSeq", "Max-Forwards", "Content-Length");

    /** The contents of a parsed message, sorted. */
    private static List<String> describe(SipMessage message) {
        List<String> found = new ArrayList<>();
        if (message.isRequest()) {
            found.add("uri " + message.uri());
        }
        for (HeaderField field : message.fields()) {
            switch (field.name()) {
                case "Via" -> {
                    String value = ParameterizedValue.parse(field.value()).value();
                    String sentBy = value.substring(value.lastIndexOf(' ') + 1).strip();
                    found.add(
                            "via "
                                    + (sentBy.startsWith("[")
                                            ? sentBy.substring(0, sentBy.indexOf(']') + 1)
                                            : sentBy.replaceFirst(":.*", "")));
                }
                case "Call-ID" -> found.add("call " + field.value());
                case "CSeq" ->
                        found.add("cseq " + message.cseqNumber() + " " + message.cseqMethod());
                default -> {
                    if (!COMPARED_SEPARATELY.contains(field.name())) {
                        found.add("other " + field.name().toLowerCase(java.util.Locale.ROOT));
                    }
                }
            }
        }
        return found.stream().sorted().toList();
    }

    /** Whether the parser documents this reason to reject a message that the grammar accepts. */
    private static boolean isStatedRejection(String reason) {
        return reason.startsWith("CSeq names another method")
                || reason.startsWith("CSeq:")
                || reason.startsWith("Max-Forwards")
                || reason.startsWith("Content-Length")
                || reason.startsWith("Via:")
                || reason.contains("is missing")
                || reason.contains("tag of From")
                || reason.startsWith("request line")
                || reason.startsWith("status line");
    }

    @Test
    void parsesLegalMessagesAsTheGrammarDoes() throws Exception {
        SplittableRandom random = new SplittableRandom(3);
        int legal = 0;
        int compared = 0;
        for (byte[] each : SipFuzz.corpus()) {
            for (int i = 0; i < 12; i++) {
                byte[] bytes = i == 0 ? each : SipFuzz.mutate(each, random);
                List<String> expected = parseWithGrammar(bytes);
                if (expected == null) {
                    continue;
                }
                legal++;
                try {
                    SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                    compared++;
                    List<String> maskedExpected =
                            expected.stream()
                                    .map(GrammarOracleTest::maskCompactForm)
                                    .sorted()
                                    .toList();
                    List<String> maskedActual =
                            describe(message).stream()
                                    .map(GrammarOracleTest::maskCompactForm)
                                    .sorted()
                                    .toList();
                    assertThat(maskedActual)
                            .as(new String(bytes, StandardCharsets.ISO_8859_1))
                            .isEqualTo(maskedExpected);
                } catch (MalformedMessageException e) {
                    assertThat(isStatedRejection(e.getMessage()))
                            .as(
                                    e.getMessage()
                                            + "\n"
                                            + new String(bytes, StandardCharsets.ISO_8859_1))
                            .isTrue();
                }
            }
        }
        assertThat(legal).isGreaterThan(100);
        assertThat(compared).isGreaterThan(60);
    }

    /**
     * Replaces names with a compact form by one placeholder, as the grammar does not expand them.
     */
    private static String maskCompactForm(String element) {
        return element.startsWith("other ")
                        && (element.length() == 7 || COMPACT_NAMES.contains(element.substring(6)))
                ? "other, may be compact"
                : element;
    }

    private static final List<String> COMPACT_NAMES =
            List.of(
                    "contact",
                    "content-type",
                    "content-encoding",
                    "subject",
                    "supported",
                    "event",
                    "allow-events");
}

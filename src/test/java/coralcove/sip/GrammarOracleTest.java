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
 * The fast parser against the grammar of RFC 3261 section 25: what is legal is read, and read as
 * the same.
 */
class GrammarOracleTest {
    /**
     * What the oracle makes of a message, in words that both can be asked for; null where it is not
     * legal.
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
                        public void enterRequest(RequestContext it) {
                            found.add("uri " + it.uri().getText());
                        }

                        @Override
                        public void enterViaParm(ViaParmContext it) {
                            found.add("via " + it.sentBy().host().getText());
                        }

                        @Override
                        public void enterCallId(CallIdContext it) {
                            String text = it.getText();
                            found.add("call " + text.substring(text.indexOf(':') + 1).strip());
                        }

                        @Override
                        public void enterCseq(CseqContext it) {
                            MethodContext method = it.method();
                            found.add(
                                    "cseq "
                                            + new java.math.BigInteger(
                                                    String.join(
                                                            "",
                                                            it.digit().stream()
                                                                    .map(d -> d.getText())
                                                                    .toList()))
                                            + " "
                                            + method.getText());
                        }

                        @Override
                        public void enterOther(OtherContext it) {
                            found.add(
                                    "other "
                                            + it.otherName()
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

    private static List<String> describe(SipMessage message) {
        List<String> found = new ArrayList<>();
        if (message.isRequest()) {
            found.add("uri " + message.uri());
        }
        for (Field field : message.fields()) {
            switch (field.name()) {
                case "Via" -> {
                    String value = Params.of(field.value()).value();
                    String sentBy = value.substring(value.lastIndexOf(' ') + 1).strip();
                    found.add(
                            "via "
                                    + (sentBy.startsWith("[")
                                            ? sentBy.substring(0, sentBy.indexOf(']') + 1)
                                            : sentBy.replaceFirst(":.*", "")));
                }
                case "Call-ID" -> found.add("call " + field.value());
                case "CSeq" -> found.add("cseq " + message.sequence() + " " + message.cseqMethod());
                default -> {
                    if (!COMPARED_SEPARATELY.contains(field.name())) {
                        found.add("other " + field.name().toLowerCase(java.util.Locale.ROOT));
                    }
                }
            }
        }
        return found.stream().sorted().toList();
    }

    /** Legal by the grammar and refused all the same, each by a stated rule of this program. */
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
        SplittableRandom chance = new SplittableRandom(3);
        int legal = 0;
        int compared = 0;
        for (byte[] each : SipFuzz.corpus()) {
            for (int i = 0; i < 12; i++) {
                byte[] bytes = i == 0 ? each : SipFuzz.mutate(each, chance);
                List<String> wanted = parseWithGrammar(bytes);
                if (wanted == null) {
                    continue;
                }
                legal++;
                try {
                    SipMessage message = SipParser.parse(bytes, 0, bytes.length);
                    compared++;
                    List<String> known =
                            wanted.stream()
                                    .map(GrammarOracleTest::maskCompactForm)
                                    .sorted()
                                    .toList();
                    List<String> read =
                            describe(message).stream()
                                    .map(GrammarOracleTest::maskCompactForm)
                                    .sorted()
                                    .toList();
                    assertThat(read)
                            .as(new String(bytes, StandardCharsets.ISO_8859_1))
                            .isEqualTo(known);
                } catch (BadMessage e) {
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

    /** Names with a compact form count as one: the grammar does not write them out. */
    private static String maskCompactForm(String what) {
        return what.startsWith("other ")
                        && (what.length() == 7 || COMPACT_NAMES.contains(what.substring(6)))
                ? "other, may be compact"
                : what;
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

package coralcove.platform.leg;

import coralcove.sip.SipMessage;
import java.util.HexFormat;

/**
 * The SIP messages towards an exchange. The Call-ID matches them; the number called stands in the
 * first line.
 */
public final class LegMessages {
    private static final String VIA = "SIP/2.0/TCP router";

    private LegMessages() {}

    public static String callId(long call) {
        return HexFormat.of().toHexDigits(call);
    }

    /** The call of a message, or null where its Call-ID is none of ours. */
    public static Long call(SipMessage message) {
        String id = message.callId();
        if (id.length() != 16 || !id.chars().allMatch(HexFormat::isHexDigit)) {
            return null;
        }
        return HexFormat.fromHexDigitsToLong(id);
    }

    /**
     * Id, service, number and description as the caller sent them; {@code withinMs} is how long the
     * answer is awaited.
     */
    public static SipMessage invite(
            long call,
            int sequence,
            String number,
            String service,
            long withinMs,
            byte[] description) {
        SipMessage invite =
                request("INVITE", "sip:" + number + "@net", call, sequence)
                        .add("Call-Kind", service)
                        .add("Answer-Within", Long.toString(withinMs));
        return invite.body("application/sdp", description);
    }

    public static SipMessage ack(long call, int sequence, String number) {
        return request("ACK", "sip:" + number + "@net", call, sequence);
    }

    public static SipMessage cancel(long call, int sequence, String number) {
        return request("CANCEL", "sip:" + number + "@net", call, sequence);
    }

    public static SipMessage bye(long call, int cause) {
        return request("BYE", "sip:" + callId(call) + "@net", call, 100)
                .add("Reason", "Q.850;cause=" + cause);
    }

    /** Asks for a report. */
    public static SipMessage probe(long call) {
        return request("OPTIONS", "sip:load@net", call, 1);
    }

    /** Asks whether the exchange lives. */
    public static SipMessage test(long call) {
        return request("OPTIONS", "sip:ping@net", call, 1);
    }

    /** The answer to a request of the exchange. */
    public static SipMessage reply(SipMessage request, int status, String reason) {
        SipMessage reply = SipMessage.status(status, reason);
        for (String name : new String[] {"Via", "From", "To", "Call-ID", "CSeq"}) {
            request.headers(name).forEach(value -> reply.add(name, value));
        }
        return reply;
    }

    private static SipMessage request(String method, String uri, long call, int sequence) {
        return SipMessage.request(method, uri)
                .add("Via", VIA)
                .add("Call-ID", callId(call))
                .add("CSeq", sequence + " " + method);
    }
}

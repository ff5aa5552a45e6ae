package coralcove.platform.signaling;

import coralcove.sip.SipMessage;
import java.util.HexFormat;

/**
 * The SIP messages that are sent to an exchange. Responses are matched by Call-ID alone. The number
 * called is the user part of the request URI of INVITE, ACK and CANCEL.
 */
public final class SignalingMessages {
    private static final String VIA = "SIP/2.0/TCP router";

    private SignalingMessages() {}

    /** The call id as 16 hex digits. */
    public static String formatCallId(long call) {
        return HexFormat.of().toHexDigits(call);
    }

    /** The call id of a message, or null if its Call-ID is not one of this router. */
    public static Long parseCallId(SipMessage message) {
        String id = message.callId();
        if (id.length() != 16 || !id.chars().allMatch(HexFormat::isHexDigit)) {
            return null;
        }
        return HexFormat.fromHexDigitsToLong(id);
    }

    /**
     * An INVITE with call id, service, number and description as the caller sent them; {@code
     * timeLimitMs} is how long the final response is awaited.
     */
    public static SipMessage invite(
            long call,
            int sequence,
            String number,
            String service,
            long timeLimitMs,
            byte[] description) {
        SipMessage invite =
                request("INVITE", "sip:" + number + "@net", call, sequence)
                        .add("Call-Kind", service)
                        .add("Answer-Within", Long.toString(timeLimitMs));
        return invite.body("application/sdp", description);
    }

    public static SipMessage ack(long call, int sequence, String number) {
        return request("ACK", "sip:" + number + "@net", call, sequence);
    }

    public static SipMessage cancel(long call, int sequence, String number) {
        return request("CANCEL", "sip:" + number + "@net", call, sequence);
    }

    /** A BYE with a release cause of Q.850. */
    public static SipMessage bye(long call, int cause) {
        return request("BYE", "sip:" + formatCallId(call) + "@net", call, 100)
                .add("Reason", "Q.850;cause=" + cause);
    }

    /** A request for a load report. */
    public static SipMessage probe(long call) {
        return request("OPTIONS", "sip:load@net", call, 1);
    }

    /** A request that checks whether the exchange responds. */
    public static SipMessage ping(long call) {
        return request("OPTIONS", "sip:ping@net", call, 1);
    }

    /** A response to a request of the exchange. */
    public static SipMessage response(SipMessage request, int status, String reason) {
        SipMessage response = SipMessage.status(status, reason);
        for (String name : new String[] {"Via", "From", "To", "Call-ID", "CSeq"}) {
            request.headers(name).forEach(value -> response.add(name, value));
        }
        return response;
    }

    private static SipMessage request(String method, String uri, long call, int sequence) {
        return SipMessage.request(method, uri)
                .add("Via", VIA)
                .add("Call-ID", formatCallId(call))
                .add("CSeq", sequence + " " + method);
    }
}

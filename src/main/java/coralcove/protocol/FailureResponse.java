package coralcove.protocol;

import coralcove.sip.SipMessage;
import coralcove.sip.dialog.UserAgent.CallFailure;
import java.util.ArrayList;
import java.util.List;

/**
 * The final response with which a failure on one call leg is passed on to the other.
 *
 * @param fields header fields as alternating names and values
 */
public record FailureResponse(int status, String reason, String... fields) {
    /** Q.850 cause 102. */
    private static final int RECOVERY_ON_TIMER_EXPIRY = 102;

    /**
     * Returns the response to pass on: the one received with the given headers of it, or 502 or 408
     * if there was none.
     *
     * @param response the response received, or null
     * @param failure how the call leg ended without a response
     * @param names names of the headers to copy
     */
    public static FailureResponse forwarding(
            SipMessage response, CallFailure failure, String... names) {
        if (response == null) {
            boolean unreachable = failure == CallFailure.UNREACHABLE;
            return new FailureResponse(
                    unreachable ? 502 : 408,
                    "No Answer",
                    "Reason",
                    InviteOutcomes.reasonHeader(
                            unreachable
                                    ? InviteOutcomes.DESTINATION_OUT_OF_ORDER
                                    : RECOVERY_ON_TIMER_EXPIRY,
                            "no answer"));
        }
        List<String> fields = new ArrayList<>();
        for (String name : names) {
            String value = response.header(name);
            if (value != null) {
                fields.add(name);
                fields.add(value);
            }
        }
        return new FailureResponse(
                response.status(), response.reason(), fields.toArray(String[]::new));
    }
}

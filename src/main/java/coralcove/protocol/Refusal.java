package coralcove.protocol;

import coralcove.sip.SipMessage;
import coralcove.sip.dialog.Agent.Lost;
import java.util.ArrayList;
import java.util.List;

/**
 * How one leg's end without a call is told on the other leg; {@code fields} are names and values in
 * turn.
 */
public record Refusal(int status, String reason, String... fields) {
    /** Q.850: a timer ran out. */
    private static final int TIMER = 102;

    /** What came as it came, with these of its headers; what never came as 502 or 408. */
    public static Refusal of(SipMessage response, Lost lost, String... names) {
        if (response == null) {
            boolean down = lost == Lost.UNREACHABLE;
            return new Refusal(
                    down ? 502 : 408,
                    "No Answer",
                    "Reason",
                    Outcomes.reason(down ? Outcomes.UNREACHABLE : TIMER, "no answer"));
        }
        List<String> fields = new ArrayList<>();
        for (String name : names) {
            String value = response.header(name);
            if (value != null) {
                fields.add(name);
                fields.add(value);
            }
        }
        return new Refusal(response.status(), response.reason(), fields.toArray(String[]::new));
    }
}

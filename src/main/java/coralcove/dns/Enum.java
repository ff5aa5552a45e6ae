package coralcove.dns;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Numbers in the DNS: the name that a number has (RFC 6116 section 3.2) and what its records say of
 * a move.
 */
public final class Enum {
    /**
     * What a number's records say: its routing number's digits, or "" if it has not moved; {@code
     * life} in seconds.
     */
    public record Ported(String routing, long life) {}

    private Enum() {}

    /** "5.4.3.2.1.e164.arpa" of "12345". */
    public static String name(String digits, String suffix) {
        StringBuilder name = new StringBuilder(2 * digits.length() + suffix.length());
        for (int i = digits.length() - 1; i >= 0; i--) {
            name.append(digits.charAt(i)).append('.');
        }
        return name.append(suffix).toString();
    }

    /** The digits of such a name, null if it is none. */
    public static String digits(String name, String suffix) {
        if (!name.endsWith("." + suffix)) {
            return null;
        }
        String labels = name.substring(0, name.length() - suffix.length() - 1).replace(".", "");
        return labels.matches("\\d{1,15}") ? new StringBuilder(labels).reverse().toString() : null;
    }

    /**
     * By order, then preference, the first record with a tel URI; its {@code rn} is the routing
     * number, also written with the prefix of its context (RFC 4694 section 4). Without one the
     * number has not moved.
     */
    public static Ported ported(DnsMessage answer, String digits) throws BadDns {
        record Ranked(Naptr it, long life) {}
        List<Ranked> found = new java.util.ArrayList<>();
        for (DnsMessage.Resource each : answer.answers()) {
            if (each.type() == DnsMessage.NAPTR && each.name().equals(answer.name())) {
                Naptr it = Naptr.read(each.data());
                if (it.service().matches("e2u\\+(pstn|tel)(:tel)?")) {
                    found.add(new Ranked(it, each.life()));
                }
            }
        }
        found.sort(
                Comparator.<Ranked>comparingInt(r -> r.it.order())
                        .thenComparingInt(r -> r.it.preference()));
        for (Ranked each : found) {
            String uri = each.it.uri(digits);
            if (uri != null && uri.toLowerCase(Locale.ROOT).startsWith("tel:")) {
                return new Ported(routing(uri), each.life);
            }
        }
        return new Ported("", found.isEmpty() ? answer.negativeLife() : found.get(0).life);
    }

    private static String routing(String uri) throws BadDns {
        String number = "";
        String context = "";
        for (String param : uri.toLowerCase(Locale.ROOT).split(";")) {
            number = param.startsWith("rn=") ? param.substring(3) : number;
            context = param.startsWith("rn-context=") ? param.substring(11) : context;
        }
        String digits = (number.startsWith("+") ? "" : context) + number;
        digits = digits.replaceAll("[+().-]", "");
        if (!digits.matches("\\d{0,15}")) {
            throw new BadDns("routing number " + number);
        }
        return digits;
    }
}

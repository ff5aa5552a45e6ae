package coralcove.dns;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * ENUM: the domain name of a telephone number (RFC 6116 section 3.2), and the routing number that
 * its records give if the number was ported.
 */
public final class EnumRecords {
    /**
     * Result of a portability query: the digits of the routing number, or "" if the number was not
     * ported; {@code life} is the TTL in seconds.
     */
    public record Ported(String routing, long life) {}

    private EnumRecords() {}

    /** The domain name of a number: "5.4.3.2.1.e164.arpa" for "12345". */
    public static String domainName(String digits, String suffix) {
        StringBuilder name = new StringBuilder(2 * digits.length() + suffix.length());
        for (int i = digits.length() - 1; i >= 0; i--) {
            name.append(digits.charAt(i)).append('.');
        }
        return name.append(suffix).toString();
    }

    /** The digits of the number that a domain name stands for; null if it is not such a name. */
    public static String digitsOf(String name, String suffix) {
        if (!name.endsWith("." + suffix)) {
            return null;
        }
        String labels = name.substring(0, name.length() - suffix.length() - 1).replace(".", "");
        return labels.matches("\\d{1,15}") ? new StringBuilder(labels).reverse().toString() : null;
    }

    /**
     * Evaluates the first record, by order and preference, that gives a tel URI. Its {@code rn}
     * parameter is the routing number, prefixed with its context if it is not global (RFC 4694
     * section 4). Without such a record the number was not ported.
     */
    public static Ported readPortability(DnsMessage answer, String digits)
            throws MalformedDnsException {
        record Candidate(NaptrRecord naptr, long ttl) {}
        List<Candidate> candidates = new java.util.ArrayList<>();
        for (DnsMessage.ResourceRecord resource : answer.answers()) {
            if (resource.type() == DnsMessage.NAPTR
                    && resource.name().equals(answer.questionName())) {
                NaptrRecord naptr = NaptrRecord.decode(resource.data());
                if (naptr.service().matches("e2u\\+(pstn|tel)(:tel)?")) {
                    candidates.add(new Candidate(naptr, resource.ttl()));
                }
            }
        }
        candidates.sort(
                Comparator.<Candidate>comparingInt(candidate -> candidate.naptr.order())
                        .thenComparingInt(candidate -> candidate.naptr.preference()));
        for (Candidate candidate : candidates) {
            String uri = candidate.naptr.toUri(digits);
            if (uri != null && uri.toLowerCase(Locale.ROOT).startsWith("tel:")) {
                return new Ported(routingNumber(uri), candidate.ttl);
            }
        }
        return new Ported("", candidates.isEmpty() ? answer.negativeTtl() : candidates.get(0).ttl);
    }

    private static String routingNumber(String uri) throws MalformedDnsException {
        String number = "";
        String context = "";
        for (String parameter : uri.toLowerCase(Locale.ROOT).split(";")) {
            number = parameter.startsWith("rn=") ? parameter.substring(3) : number;
            context = parameter.startsWith("rn-context=") ? parameter.substring(11) : context;
        }
        String digits = (number.startsWith("+") ? "" : context) + number;
        digits = digits.replaceAll("[+().-]", "");
        if (!digits.matches("\\d{0,15}")) {
            throw new MalformedDnsException("routing number " + number);
        }
        return digits;
    }
}

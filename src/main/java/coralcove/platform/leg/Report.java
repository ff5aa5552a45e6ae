package coralcove.platform.leg;

import java.util.List;

/**
 * A report of an exchange, {@code x0:12;x1:40;queue:3}, as values in the order that the settings
 * name.
 */
public final class Report {
    private Report() {}

    /**
     * The values by the settings' names, -1 where one is not told; null where the text is no
     * report.
     */
    public static float[] read(String text, List<String> names) {
        float[] values = new float[names.size()];
        java.util.Arrays.fill(values, -1);
        boolean found = false;
        for (String each : text.split(";")) {
            int colon = each.indexOf(':');
            int at = colon < 0 ? -1 : names.indexOf(each.substring(0, colon).strip());
            if (at < 0) {
                continue;
            }
            try {
                float value = Float.parseFloat(each.substring(colon + 1).strip());
                if (!Float.isFinite(value)) {
                    return null;
                }
                values[at] = value;
                found = true;
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return found ? values : null;
    }
}

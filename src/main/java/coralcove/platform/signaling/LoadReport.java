package coralcove.platform.signaling;

import java.util.List;

/**
 * Reads the load reports of exchanges, such as {@code x0:12;x1:40;queue:3}, into values in the
 * order of the columns in the settings.
 */
public final class LoadReport {
    private LoadReport() {}

    /**
     * The value of each column, -1 if the report does not contain it; null if the text is malformed
     * or has none of the columns.
     */
    public static float[] parse(String text, List<String> columns) {
        float[] values = new float[columns.size()];
        java.util.Arrays.fill(values, -1);
        boolean found = false;
        for (String item : text.split(";")) {
            int colon = item.indexOf(':');
            int column = colon < 0 ? -1 : columns.indexOf(item.substring(0, colon).strip());
            if (column < 0) {
                continue;
            }
            try {
                float value = Float.parseFloat(item.substring(colon + 1).strip());
                if (!Float.isFinite(value)) {
                    return null;
                }
                values[column] = value;
                found = true;
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return found ? values : null;
    }
}

package gingerspool.wire;

import java.util.regex.Pattern;

/** Numbers in header fields. */
public final class Facts {
    /** Compiled once: each request and each report in a header asks for it. */
    private static final Pattern PLAIN = Pattern.compile("-?[0-9.]{1,20}([eE][+-]?[0-9]{1,3})?");

    private Facts() {}

    /** A plain decimal number, or NaN. */
    static double number(String text) {
        try {
            String digits = text.strip();
            boolean plain = PLAIN.matcher(digits).matches();
            return plain ? Double.parseDouble(digits) : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** A header's number, not negative; the fallback where the header is absent. */
    public static double field(Message message, String name, double other) throws BadMessage {
        String text = message.field(name);
        return text == null ? other : sound(name, number(text));
    }

    /** One of the pairs name=value, name=value in a header; the fallback where it is absent. */
    public static double fact(Message message, String header, String name, double other)
            throws BadMessage {
        String text = message.field(header);
        for (String pair : text == null ? new String[0] : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).strip().equals(name)) {
                return sound(header, number(pair.substring(equals + 1)));
            }
        }
        return other;
    }

    private static double sound(String name, double value) throws BadMessage {
        if (!(value >= 0 && value < 1e12)) {
            throw new BadMessage(400, "field " + name + " is not a number");
        }
        return value;
    }
}

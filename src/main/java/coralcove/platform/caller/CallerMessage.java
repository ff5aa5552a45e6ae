package coralcove.platform.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One binary message of a caller's connection: a length of two bytes, a type, the call's eight
 * bytes, parameters. All numbers are big-endian; the length counts what follows it.
 */
public record CallerMessage(int type, long call, List<Parameter> parameters) {
    public static final int SET_UP = 1;
    public static final int PROGRESS = 6;
    public static final int ANSWER = 9;
    public static final int RELEASE = 12;
    public static final int RELEASE_HEARD = 16;
    public static final int TEST = 52;
    public static final int TEST_ANSWER = 53;

    public static final int SERVICE = 64;
    public static final int WAIT = 65;
    public static final int REDIAL = 67;
    public static final int NUMBER = 68;
    public static final int FIGURES = 69;
    public static final int STAY_AWAY = 70;
    public static final int CAUSE = 78;
    public static final int DESCRIPTION = 79;

    /** Bytes of the largest message, its length field included. */
    public static final int MOST_BYTES = 16 << 10;

    /** Bytes of the smallest: a type and a call, after the length. */
    static final int LEAST = 9;

    /** Parameters of one message: a set-up has seven. */
    private static final int MOST_PARAMETERS = 64;

    /** One parameter; its value is not copied. */
    public record Parameter(int code, byte[] value) {}

    public static CallerMessage of(int type, long call) {
        return new CallerMessage(type, call, new ArrayList<>(3));
    }

    /** A release, refusal or test's answer: a message with a cause of one byte. */
    public static CallerMessage withCause(int type, long call, int cause) {
        return of(type, call).add(CAUSE, new byte[] {(byte) cause});
    }

    public CallerMessage add(int code, byte[] value) {
        parameters.add(new Parameter(code, value));
        return this;
    }

    public CallerMessage add(int code, String value) {
        return add(code, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads what follows the length; parameters must fill it to the byte. */
    public static CallerMessage read(byte[] body) throws BadCallerMessage {
        if (body.length < LEAST) {
            throw new BadCallerMessage("a message of " + body.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        CallerMessage message = of(in.get() & 0xff, in.getLong());
        while (in.hasRemaining()) {
            if (in.remaining() < 3) {
                throw new BadCallerMessage("a parameter is cut off");
            }
            int code = in.get() & 0xff;
            int length = in.getShort() & 0xffff;
            if (length > in.remaining()) {
                throw new BadCallerMessage(
                        "parameter "
                                + code
                                + " of "
                                + length
                                + " bytes, "
                                + in.remaining()
                                + " left");
            }
            if (message.parameters.size() >= MOST_PARAMETERS) {
                throw new BadCallerMessage("more than " + MOST_PARAMETERS + " parameters");
            }
            byte[] value = new byte[length];
            in.get(value);
            message.add(code, value);
        }
        return message;
    }

    public byte[] bytes() {
        int length = LEAST;
        for (Parameter each : parameters) {
            length += 3 + each.value().length;
        }
        ByteBuffer out =
                ByteBuffer.allocate(2 + length)
                        .putShort((short) length)
                        .put((byte) type)
                        .putLong(call);
        for (Parameter each : parameters) {
            out.put((byte) each.code()).putShort((short) each.value().length).put(each.value());
        }
        return out.array();
    }

    /**
     * The value of this parameter, or null; where it stands twice the message says two things and
     * neither counts.
     */
    public byte[] value(int code) {
        byte[] found = null;
        for (Parameter each : parameters) {
            if (each.code() == code) {
                if (found != null) {
                    return null;
                }
                found = each.value();
            }
        }
        return found;
    }

    public boolean has(int code) {
        return parameters.stream().anyMatch(each -> each.code() == code);
    }

    /** The same as text, or null. */
    public String text(int code) {
        byte[] value = value(code);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** The cause, or {@code otherwise} where there is none of one byte. */
    public int cause(int otherwise) {
        byte[] value = value(CAUSE);
        return value == null || value.length != 1 ? otherwise : value[0] & 0xff;
    }
}

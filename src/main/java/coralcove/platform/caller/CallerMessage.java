package coralcove.platform.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One binary message of a caller's connection: a length of two bytes, a type of one, a call id of
 * eight, then parameters. All numbers are big-endian; the length does not count itself.
 */
public record CallerMessage(int type, long callId, List<Parameter> parameters) {
    /** Message type: a caller requests a call, or reports one that is established already. */
    public static final int SET_UP = 1;

    /** Message type: a call makes progress; ignored. */
    public static final int PROGRESS = 6;

    /** Message type: the call was established. */
    public static final int ANSWER = 9;

    /** Message type: either side ends a call, or the router rejects or fails a set-up. */
    public static final int RELEASE = 12;

    /** Message type: acknowledges a release. */
    public static final int RELEASE_COMPLETE = 16;

    /** Message type: queries whether the router is ready. */
    public static final int READINESS_CHECK = 52;

    /**
     * Message type: the reply to {@link #READINESS_CHECK}; its cause is 1 if the router is ready,
     * else 0.
     */
    public static final int READINESS_RESULT = 53;

    /** Parameter: the name of the service. */
    public static final int SERVICE = 64;

    /** Parameter: how long the caller waits for an answer, in ms. */
    public static final int WAIT = 65;

    /** Parameter: whether the caller redials, 0 or 1. */
    public static final int REDIAL = 67;

    /** Parameter: the number called. */
    public static final int NUMBER = 68;

    /** Parameter: the attributes of the call, as {@code name:value} joined by semicolons. */
    public static final int ATTRIBUTES = 69;

    /** Parameter: the retry-after delay of a rejected set-up, in ms. */
    public static final int RETRY_AFTER = 70;

    /** Parameter: the cause of a release, or the result of a test. */
    public static final int CAUSE = 78;

    /** Parameter: the session description. */
    public static final int DESCRIPTION = 79;

    /** Size of the largest message in bytes, its length field included. */
    public static final int MAX_BYTES = 16 << 10;

    /** Size of the smallest message in bytes, without its length field: a type and a call id. */
    static final int MIN_BODY_BYTES = 9;

    /** Parameters of one message at most; a set-up has seven. */
    private static final int MAX_PARAMETERS = 64;

    /** One parameter; its value is not copied. */
    public record Parameter(int code, byte[] value) {}

    /** A message without parameters. */
    public static CallerMessage of(int type, long call) {
        return new CallerMessage(type, call, new ArrayList<>(3));
    }

    /** A message with a cause of one byte: a release, a rejection or the reply to a test. */
    public static CallerMessage withCause(int type, long call, int cause) {
        return of(type, call).add(CAUSE, new byte[] {(byte) cause});
    }

    /** Adds a parameter and returns this message. */
    public CallerMessage add(int code, byte[] value) {
        parameters.add(new Parameter(code, value));
        return this;
    }

    /** Adds a parameter with a text in UTF-8 and returns this message. */
    public CallerMessage add(int code, String value) {
        return add(code, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Decodes a message without its length field; the parameters must fill it to the byte. */
    public static CallerMessage decode(byte[] body) throws MalformedCallerMessageException {
        if (body.length < MIN_BODY_BYTES) {
            throw new MalformedCallerMessageException(
                    "message too short: " + body.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(body);
        CallerMessage message = of(in.get() & 0xff, in.getLong());
        while (in.hasRemaining()) {
            if (in.remaining() < 3) {
                throw new MalformedCallerMessageException("truncated parameter");
            }
            int code = in.get() & 0xff;
            int length = in.getShort() & 0xffff;
            if (length > in.remaining()) {
                throw new MalformedCallerMessageException(
                        "parameter "
                                + code
                                + " of "
                                + length
                                + " bytes, only "
                                + in.remaining()
                                + " left");
            }
            if (message.parameters.size() >= MAX_PARAMETERS) {
                throw new MalformedCallerMessageException(
                        "more than " + MAX_PARAMETERS + " parameters");
            }
            byte[] value = new byte[length];
            in.get(value);
            message.add(code, value);
        }
        return message;
    }

    /** The encoded message, its length field included. */
    public byte[] encode() {
        int length = MIN_BODY_BYTES;
        for (Parameter parameter : parameters) {
            length += 3 + parameter.value().length;
        }
        ByteBuffer out =
                ByteBuffer.allocate(2 + length)
                        .putShort((short) length)
                        .put((byte) type)
                        .putLong(callId);
        for (Parameter parameter : parameters) {
            out.put((byte) parameter.code())
                    .putShort((short) parameter.value().length)
                    .put(parameter.value());
        }
        return out.array();
    }

    /**
     * The value of this parameter, or null if it is absent or repeated: a repeated parameter is
     * ambiguous, so that none of its values is used.
     */
    public byte[] value(int code) {
        byte[] found = null;
        for (Parameter parameter : parameters) {
            if (parameter.code() == code) {
                if (found != null) {
                    return null;
                }
                found = parameter.value();
            }
        }
        return found;
    }

    /** Whether the message has this parameter, also if it is repeated. */
    public boolean has(int code) {
        return parameters.stream().anyMatch(parameter -> parameter.code() == code);
    }

    /** The value of this parameter as text, or null if it is absent or repeated. */
    public String text(int code) {
        byte[] value = value(code);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** The cause, or {@code defaultCause} if there is none of one byte. */
    public int cause(int defaultCause) {
        byte[] value = value(CAUSE);
        return value == null || value.length != 1 ? defaultCause : value[0] & 0xff;
    }
}

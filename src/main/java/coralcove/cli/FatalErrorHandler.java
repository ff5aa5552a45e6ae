package coralcove.cli;

/**
 * Ends the process when an {@link Error}, such as an OutOfMemoryError, ends one of its threads.
 *
 * <p>Without it the JVM ends that thread alone: a router whose event loop is gone keeps its
 * connections and answers nobody. A process that has ended is noticed and started again. Exceptions
 * are only printed.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit status of a process that an Error has ended. */
    static final int EXIT_STATUS = 4;

    /** Memory to log the error and to end the process with, once the heap is full. */
    private static final int RESERVED_BYTES = 256 << 10;

    /** Given up while an error or exception is handled. */
    private byte[] reservedMemory = new byte[RESERVED_BYTES];

    private FatalErrorHandler() {}

    /** Installs the handler for all threads that have none of their own. */
    static void install() {
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler());
    }

    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        // First, as all that follows may load classes.
        reservedMemory = null;
        if (thrown instanceof Error) {
            try {
                System.err.println(logLine(thread, thrown));
                thrown.printStackTrace();
            } finally {
                // Not exit: shutdown hooks may wait for the thread that has ended.
                Runtime.getRuntime().halt(EXIT_STATUS);
            }
        }
        // As the JVM does without a handler.
        System.err.print("Exception in thread \"" + thread.getName() + "\" ");
        thrown.printStackTrace();
        reservedMemory = new byte[RESERVED_BYTES];
    }

    /** Not joined by the + operator, whose first use takes megabytes for the classes it makes. */
    private static String logLine(Thread thread, Throwable error) {
        return "{\"event\":\"fatal\",\"detail\":\""
                .concat(error.getClass().getName())
                .concat(" in thread ")
                .concat(thread.getName())
                .concat("\"}");
    }
}

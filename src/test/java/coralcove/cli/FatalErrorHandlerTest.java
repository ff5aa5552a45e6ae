package coralcove.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs processes of their own in which a thread ends by an Error or by an exception. */
class FatalErrorHandlerTest {
    /** Time for a JVM to start on a loaded machine, and to end. */
    private static final long EXIT_TIMEOUT_S = 60;

    @TempDir private Path directory;

    /** Guards against a router whose event loop has ended while its process stays. */
    @ParameterizedTest
    @ValueSource(strings = {"main", "other"})
    void endsTheProcessWhenAThreadRunsOutOfMemory(String thread) throws Exception {
        Process process = start(thread, "memory");
        assertThat(process.exitValue()).isEqualTo(FatalErrorHandler.EXIT_STATUS);
        assertThat(standardError()).contains("{\"event\":\"fatal\",\"detail\":\"");
    }

    @ParameterizedTest
    @ValueSource(strings = {"main", "other"})
    void logsTheErrorAndItsThread(String thread) throws Exception {
        Process process = start(thread, "assertion");
        assertThat(process.exitValue()).isEqualTo(FatalErrorHandler.EXIT_STATUS);
        assertThat(standardError())
                .startsWith(
                        "{\"event\":\"fatal\",\"detail\":\"java.lang.AssertionError in thread "
                                + thread
                                + "\"}\n")
                .contains("at " + ErrorProgram.class.getName());
    }

    @Test
    void leavesTheProcessToItselfWhenAThreadEndsByAnException() throws Exception {
        Process process = start("other", "exception");
        assertThat(process.exitValue()).isZero();
        assertThat(standardError())
                .startsWith("Exception in thread \"other\" java.lang.IllegalStateException")
                .doesNotContain("fatal");
    }

    @Test
    void handlesErrorsOfAllCommands() throws Exception {
        Process process = run(List.of("-Xmx4m"), Main.class, "trial");
        assertThat(process.exitValue()).isEqualTo(FatalErrorHandler.EXIT_STATUS);
        assertThat(standardError()).contains("OutOfMemoryError in thread main");
    }

    private Process start(String... arguments) throws Exception {
        return run(List.of("-Xmx16m"), ErrorProgram.class, arguments);
    }

    private Process run(List<String> options, Class<?> program, String... arguments)
            throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path")));
        command.addAll(options);
        command.add(program.getName());
        command.addAll(List.of(arguments));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(standardErrorFile())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        try {
            assertThat(process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS))
                    .as("the process has ended")
                    .isTrue();
        } finally {
            process.destroyForcibly();
        }
        return process;
    }

    private File standardErrorFile() {
        return directory.resolve("stderr").toFile();
    }

    private String standardError() throws Exception {
        return Files.readString(standardErrorFile().toPath(), StandardCharsets.UTF_8);
    }

    /**
     * A program with a second thread. One of the two ends by an Error; the other would live for
     * minutes, so that the process does not end by itself.
     */
    static final class ErrorProgram {
        private static final long LIFETIME_MS = 300_000;

        /** Keeps the memory in use when the thread has ended. */
        private static final List<Object> RETAINED = new ArrayList<>();

        private ErrorProgram() {}

        public static void main(String[] arguments) throws InterruptedException {
            FatalErrorHandler.install();
            boolean inMain = arguments[0].equals("main");
            Thread other =
                    new Thread(
                            () -> {
                                if (!inMain) {
                                    end(arguments[1]);
                                }
                                sleep();
                            },
                            "other");
            other.start();
            if (inMain) {
                end(arguments[1]);
            }
            other.join();
            if (!arguments[1].equals("exception")) {
                sleep();
            }
        }

        private static void sleep() {
            try {
                TimeUnit.MILLISECONDS.sleep(LIFETIME_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private static void end(String how) {
            switch (how) {
                case "exception" -> throw new IllegalStateException("test");
                case "assertion" -> throw new AssertionError("test");
                default -> fillMemory();
            }
        }

        /** Small arrays in the end, so that not even a short text has room. */
        private static void fillMemory() {
            for (int length = 1 << 20; ; length = Math.max(1, length / 2)) {
                try {
                    while (true) {
                        RETAINED.add(new Object[length]);
                    }
                } catch (OutOfMemoryError e) {
                    if (length == 1) {
                        throw e;
                    }
                }
            }
        }
    }
}

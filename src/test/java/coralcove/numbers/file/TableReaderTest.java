package coralcove.numbers.file;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import coralcove.TraceFiles;
import coralcove.numbers.Digits;
import coralcove.numbers.NumberTable;
import java.io.BufferedReader;
import java.io.StringReader;
import java.util.List;
import org.junit.jupiter.api.Test;

class TableReaderTest {
    static final String VALID =
            """
            table 17
            # the two far ends of the island
            holidays 2026-12-23 2027-01-01
            calendar office Asia/Tokyo mo-fr 09:00-17:30 except holidays
            rule 010 -> +
            rule 0 -> +81
            rule 5-8 digits -> +8111
            8111 to 3
            81112 to 4 services 0,1
            81113 changed +81114
            81115 blocked
            8190 ported 5
            8199 hours office to 3; else unallocated
            * unallocated
            end 7
            """;

    private static NumberTable read(String text) throws Exception {
        return TableReader.readTable("t", new BufferedReader(new StringReader(text)), n -> n < 10);
    }

    @Test
    void readsACompleteTable() throws Exception {
        NumberTable table = read(VALID);
        StringBuilder trace = new StringBuilder("version " + table.version() + '\n');
        for (String dialled :
                List.of("+81 11 2345", "011-12345", "010 81 113 1", "12345", "8190123", "4711")) {
            long number = table.toNumber(dialled);
            trace.append(dialled)
                    .append(" -> ")
                    .append(Digits.unpack(number))
                    .append(' ')
                    .append(table.destination(table.trie().longestPrefixValue(number)))
                    .append('\n');
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("numbers-table"));
    }

    @Test
    void changesCreateTheNextTableAndLeaveTheOldOneUnchanged() throws Exception {
        NumberTable table = read(VALID);
        TableReader.TableChanges changes =
                TableReader.readChanges(
                        "c",
                        new BufferedReader(
                                new StringReader(
                                        """
                                        changes 18 after 17
                                        put 81112 to 5
                                        put 811122 hours office to 1; else to 2
                                        drop 8190
                                        end 3
                                        """)),
                        table,
                        n -> n < 10);
        NumberTable next = table.withChanges(changes.version(), changes.changes());
        assertThat(
                        table.destination(table.trie().longestPrefixValue(Digits.pack("81112")))
                                .toString())
                .isEqualTo("FarEnd[number=4, services=[0, 1]]");
        assertThat(
                        next.destination(next.trie().longestPrefixValue(Digits.pack("811129")))
                                .toString())
                .isEqualTo("FarEnd[number=5, services=[]]");
        assertThat(
                        next.destination(next.trie().longestPrefixValue(Digits.pack("8190123")))
                                .toString())
                .isEqualTo("Unallocated[]");
        assertThat(next.trie().size()).isEqualTo(7);
        assertThatThrownBy(() -> next.withChanges(18, List.of()))
                .hasMessage("version 18 is not after 18");
    }

    /**
     * Each malformed file is refused with its line, including truncated files, repeated prefixes
     * and unknown far ends.
     */
    @Test
    void malformedFileIsRefusedWithItsLine() {
        StringBuilder trace = new StringBuilder();
        String[][] changes = {
            {"end 7\n", ""},
            {"end 7", "end 8"},
            {"* unallocated\n", ""},
            {"8190 ported 5", "8111 to 4"},
            {"to 3\n", "to 33\n"},
            {"blocked", "blocked 4"},
            {"ported 5", "ported"},
            {"81115", "8111x"},
            {"8190", "8190123456789012"},
            {"hours office", "hours shop"},
            {"else unallocated", "else hours office to 3"},
            {"09:00-17:30", "09:00-17:60"},
            {"Asia/Tokyo", "Asia/Edo"},
            {"2027-01-01", "2027-01-32"},
            {"table 17", "table 0"},
            {"rule 0 -> +81", "rule 0 +81"},
            {"5-8 digits", "8-5 digits"},
            {"services 0,1", "services 0,64"},
            {"calendar office", "calender office"},
            {"end 7\n", "end 7\n8111 to 3\n"},
            {"changed +81114", "changed"}
        };
        for (String[] change : changes) {
            assertThat(VALID).contains(change[0]);
            assertThatThrownBy(() -> read(VALID.replace(change[0], change[1])))
                    .satisfies(e -> trace.append(e.getMessage()).append('\n'));
        }
        for (String text :
                List.of(
                        "changes 18\nend 0\n",
                        "changes 18 after 18\nend 0\n",
                        "changes 18 after 17\nput 1\nend 1\n",
                        "changes 18 after 17\ndrop 1\nput 1 to 1\nend 2\n",
                        "changes 18 after 17\ndrop 1 to 2\nend 1\n")) {
            assertThatThrownBy(
                            () ->
                                    TableReader.readChanges(
                                            "c",
                                            new BufferedReader(new StringReader(text)),
                                            read(VALID),
                                            n -> true))
                    .satisfies(e -> trace.append(e.getMessage()).append('\n'));
        }
        assertThat(trace.toString()).isEqualTo(TraceFiles.read("bad-numbers"));
    }
}

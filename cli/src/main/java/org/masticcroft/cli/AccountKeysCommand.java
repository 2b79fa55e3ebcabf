package org.masticcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.export.ExportLine;
import org.masticcroft.account.export.ExportReader;
import org.masticcroft.account.record.ChangeRecord;
import org.masticcroft.gateway.account.EntryAccountWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the public keys that an exported account states. */
@Command(
        name = "keys",
        description = {
            "Prints the public keys that the processes state in an exported account, in the form that verify reads.",
            "They show that records were not changed after their process signed them; whether a process was one of"
                    + " the fleet must be known from elsewhere."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:printed",
            "1:the file states no key",
            "2:the command line is not valid",
            "5:the file cannot be read"
        })
final class AccountKeysCommand implements Callable<Integer> {
    @Mixin
    private OutputOption output;

    @Parameters(paramLabel = "FILE", description = "The exported file.")
    private Path file;

    @Override
    public Integer call() throws IOException {
        List<String> keys = new ArrayList<>();
        ExportReader.of(file).read(new ExportReader.Handler() {
            @Override
            public void batch(ExportLine.BatchLine line, Batch batch) {
                batch.lines().stream()
                        .map(BatchCodec::parseRecord)
                        .filter(ChangeRecord.class::isInstance)
                        .map(ChangeRecord.class::cast)
                        .filter(change -> change.kind().equals(EntryAccountWriter.SIGNING_KEY_KIND))
                        .forEach(change -> keys.add(change.details().get("id") + " "
                                + change.details().get("public")));
            }
        });
        output.print(keys, out -> keys.forEach(out::println));
        return keys.isEmpty() ? ExitCodes.PROBLEM : ExitCodes.OK;
    }
}

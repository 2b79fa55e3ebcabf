package org.masticcroft.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the hash of a caller key. The key is read from standard input, which keeps it out of the process list. */
@Command(
        name = "hash-key",
        description = "Reads a caller key from the first line of standard input and prints its hash for keys.*.sha256.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:printed",
            "1:standard input has no key, or one that cannot be sent as a bearer token",
            "2:the command line is not valid"
        })
final class HashKeyCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOption output;

    HashKeyCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() throws IOException, NoSuchAlgorithmException {
        String key = new BufferedReader(new InputStreamReader(context.input(), StandardCharsets.UTF_8)).readLine();
        if (key == null || key.isEmpty() || key.chars().anyMatch(c -> c <= ' ' || c > '~')) {
            output.printMessage(
                    "the first line of standard input must be a key of visible ASCII characters without spaces");
            return ExitCodes.PROBLEM;
        }
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
        String hash = HexFormat.of().formatHex(digest);
        output.print(Map.of("sha256", hash), out -> out.println(hash));
        return ExitCodes.OK;
    }
}

package org.masticcroft.cli;

import java.util.concurrent.Callable;
import org.masticcroft.account.key.SigningKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Generates a key pair for the writers of the account. */
@Command(
        name = "new-key",
        description = {
            "Generates a signing key for the writers of the account and prints it with its public key.",
            "The line 'secret' goes into MASTICCROFT_ACCOUNT_KEY of the processes; the rest of the line 'public' goes"
                    + " into the file that 'account verify --keys' reads. After a rotation that file keeps both keys."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:printed", "2:the command line is not valid"})
final class AccountNewKeyCommand implements Callable<Integer> {
    @Mixin
    private OutputOption output;

    @Override
    public Integer call() {
        SigningKey.EncodedKeyPair key = SigningKey.generate();
        output.print(key, out -> {
            out.println("secret " + key.secret());
            out.println("public " + key.id() + " " + key.publicKey());
        });
        return ExitCodes.OK;
    }
}

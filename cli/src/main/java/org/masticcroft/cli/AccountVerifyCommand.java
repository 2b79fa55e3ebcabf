package org.masticcroft.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.verify.Verification;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Verifies an exported account offline, against trusted public keys. */
@Command(
        name = "verify",
        description =
                "Checks signatures, hash chains, numbering and completeness of an exported file; needs no platform.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the file is authentic; its gaps are listed",
            "1:the file was changed or is damaged",
            "2:the command line is not valid"
        })
final class AccountVerifyCommand implements Callable<Integer> {
    @Mixin
    private OutputOption output;

    @Mixin
    private VerificationKeyOption keys;

    @Parameters(paramLabel = "FILE", description = "The exported file.")
    private Path file;

    @Override
    public Integer call() {
        VerificationKeys trustedKeys = keys.read();
        Verification verification = AccountVerifier.verify(file, trustedKeys);
        output.print(verification, out -> {
            out.println((verification.isAuthentic() ? "authentic" : "NOT AUTHENTIC") + ": " + verification.records()
                    + " records in " + verification.batches() + " batches, "
                    + verification.gaps().size() + " gaps");
            verification.findings().forEach(finding -> out.println(finding.kind() + ": " + finding.detail()));
            verification.gaps().forEach(gap -> out.println("gap: " + gap.describe()));
        });
        return verification.isAuthentic() ? ExitCodes.OK : ExitCodes.PROBLEM;
    }
}

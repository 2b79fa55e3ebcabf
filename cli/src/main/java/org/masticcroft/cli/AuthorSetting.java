package org.masticcroft.cli;

import picocli.CommandLine.Option;

/** The setting {@code --author}, for use as a mixin. */
public final class AuthorSetting {
    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Name recorded with the change. Variable MASTICCROFT_AUTHOR. Default: the user's name.")
    private String author;

    /** Returns the name to record. */
    public String author() {
        return author;
    }
}

package org.masticcroft.cli;

import picocli.CommandLine.Option;

/** Mixin with the setting {@code --author}. */
public final class AuthorSetting {
    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Name recorded with the change. Variable MASTICCROFT_AUTHOR. Default: the user's name.")
    private String author;

    /** Returns the author to record with a publication. */
    public String author() {
        return author;
    }
}

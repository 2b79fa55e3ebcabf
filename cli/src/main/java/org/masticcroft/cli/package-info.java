/**
 * The command line {@code masticcroft}, with which operators publish configurations, inspect the fleet and audit
 * requests. Start reading with {@link org.masticcroft.cli.Main} and {@link org.masticcroft.cli.PublishCommand}.
 *
 * <p>Each command is a class of its own, listed in {@link org.masticcroft.cli.MasticcroftCommand}. It receives its
 * dependencies through a constructor with a {@link org.masticcroft.cli.CliContext}, its options from mixins, and
 * returns one of {@link org.masticcroft.cli.ExitCodes}. An option with a default value is a setting: it has an
 * environment variable and a row in {@code docs/CONFIGURATION.md}.
 */
package org.masticcroft.cli;

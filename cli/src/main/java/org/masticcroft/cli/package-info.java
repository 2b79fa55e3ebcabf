/**
 * The masticcroft command line of operators.
 *
 * <p>A command is a class of its own, listed in {@link org.masticcroft.cli.MasticcroftCommand}. It takes its
 * surroundings from a constructor with a {@link org.masticcroft.cli.CliContext}, its options from mixins, and returns
 * one of {@link org.masticcroft.cli.ExitCodes}. An option with a default value is a setting: it has an environment
 * variable and a row in {@code docs/CONFIGURATION.md}.
 */
package org.masticcroft.cli;

/** The masticcroft operator command line. */
package org.masticcroft.cli;

/** Reading and publishing of configurations through the log. */
package org.masticcroft.cli.publish;

/**
 * Reads and publishes the configuration through the log, and waits for instances to confirm a version. Start reading
 * with {@link org.masticcroft.cli.publish.Publisher}.
 */
package org.masticcroft.cli.publish;

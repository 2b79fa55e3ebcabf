/**
 * Clients of the platform and of the instances of a fleet, and the report on their state. Start reading with {@link
 * org.masticcroft.cli.fleet.Platform}.
 */
package org.masticcroft.cli.fleet;

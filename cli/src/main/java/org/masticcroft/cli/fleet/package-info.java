/** Access to the platform and the instances of a fleet for the commands. */
package org.masticcroft.cli.fleet;

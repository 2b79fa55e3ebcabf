/** Stand-in of the platform's list of live and leaving instances. */
package org.masticcroft.standins.instances;

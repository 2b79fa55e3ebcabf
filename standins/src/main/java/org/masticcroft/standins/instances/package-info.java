/** Stand-in of the platform's instance list. */
package org.masticcroft.standins.instances;

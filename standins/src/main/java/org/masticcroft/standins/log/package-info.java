/** Stand-in of the platform's log service. */
package org.masticcroft.standins.log;

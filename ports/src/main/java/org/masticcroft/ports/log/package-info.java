/** Client of the log service. */
package org.masticcroft.ports.log;

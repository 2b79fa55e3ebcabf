/**
 * Fault switches of a stand-in, set on the command line or over HTTP. See {@link
 * org.masticcroft.standins.fault.Faults}.
 */
package org.masticcroft.standins.fault;

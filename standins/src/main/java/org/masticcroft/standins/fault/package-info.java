/** Fault switches of a stand-in, settable at start and over HTTP. */
package org.masticcroft.standins.fault;

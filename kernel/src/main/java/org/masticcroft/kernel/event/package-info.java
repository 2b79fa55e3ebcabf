/** Numbered, structured log events. */
package org.masticcroft.kernel.event;

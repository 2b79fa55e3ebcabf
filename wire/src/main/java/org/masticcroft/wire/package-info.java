/** Messages and transport between the processes of masticcroft. */
package org.masticcroft.wire;

/** Identifiers that several subsystems share. */
package org.masticcroft.kernel.id;

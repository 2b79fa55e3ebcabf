/** Messages exchanged with other entries and with sidecars, apart from dispatches. */
package org.masticcroft.entry.peer;

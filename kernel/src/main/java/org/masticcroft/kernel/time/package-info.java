/** The injected clock. */
package org.masticcroft.kernel.time;

/** Start and graceful stop of a process. */
package org.masticcroft.kernel.lifecycle;

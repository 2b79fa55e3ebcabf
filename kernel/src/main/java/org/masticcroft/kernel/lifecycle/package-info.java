/** Start and graceful stop of a process. Start reading with {@link org.masticcroft.kernel.lifecycle.Role}. */
package org.masticcroft.kernel.lifecycle;

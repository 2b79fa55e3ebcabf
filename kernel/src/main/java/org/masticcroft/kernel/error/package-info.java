/** Error codes and the exception that carries them. Start with {@link org.masticcroft.kernel.error.ErrorCode}. */
package org.masticcroft.kernel.error;

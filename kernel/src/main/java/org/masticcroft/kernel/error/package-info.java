/** Error codes and the exception that carries them. */
package org.masticcroft.kernel.error;

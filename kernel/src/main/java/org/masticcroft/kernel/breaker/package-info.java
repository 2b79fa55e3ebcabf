/** Circuit breaking per upstream. */
package org.masticcroft.kernel.breaker;

/** Who fetches which chunk of the weights from whom. */
package org.masticcroft.kernel.rollout;

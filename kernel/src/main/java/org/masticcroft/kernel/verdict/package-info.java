/** The verdict on whether a request was executed: {@link org.masticcroft.kernel.verdict.Verdict}. */
package org.masticcroft.kernel.verdict;

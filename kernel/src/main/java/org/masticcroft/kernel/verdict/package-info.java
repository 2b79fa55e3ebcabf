/** The verdict on whether a request was executed. */
package org.masticcroft.kernel.verdict;

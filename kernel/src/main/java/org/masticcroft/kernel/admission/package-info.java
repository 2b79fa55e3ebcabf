/** Admission and order of requests by rank, and fairness between customers. */
package org.masticcroft.kernel.admission;

/**
 * Admission control: bounded queues that order waiting requests by rank and share capacity fairly between customers,
 * and the policies that preempt running requests. Start with
 * {@link org.masticcroft.kernel.admission.AdmissionQueue}; the default implementation comes from
 * {@link org.masticcroft.kernel.admission.RankedFairAdmission}.
 */
package org.masticcroft.kernel.admission;

/**
 * Admission of requests and their placement on upstreams with free slots.
 *
 * <p>{@link org.masticcroft.entry.admission.AdmissionGate} is the entry point. Requests take part through
 * {@link org.masticcroft.entry.admission.Waiter}.
 */
package org.masticcroft.entry.admission;

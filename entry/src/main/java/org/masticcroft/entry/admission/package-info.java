/** Admission of requests and their placement on upstreams with room. */
package org.masticcroft.entry.admission;

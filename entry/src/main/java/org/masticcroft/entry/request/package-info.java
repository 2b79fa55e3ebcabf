/** Life of one request: preparation, admission, attempts, retries, resume, answer and audit record. */
package org.masticcroft.entry.request;

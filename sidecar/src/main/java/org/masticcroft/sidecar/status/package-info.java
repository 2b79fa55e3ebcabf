/** What the sidecar tells entries about itself. */
package org.masticcroft.sidecar.status;

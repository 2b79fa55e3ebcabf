/**
 * Wires, starts and gracefully stops a process. Start with {@link org.masticcroft.service.process.ServiceProcess}.
 */
package org.masticcroft.service.process;

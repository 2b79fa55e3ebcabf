/** Assembly, start and graceful stop of a process. */
package org.masticcroft.service.process;

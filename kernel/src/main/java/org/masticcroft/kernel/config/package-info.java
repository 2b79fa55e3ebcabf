/** The configuration model and what a process knows about the version in force. */
package org.masticcroft.kernel.config;

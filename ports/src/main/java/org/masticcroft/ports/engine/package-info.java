/** Client of the engines. */
package org.masticcroft.ports.engine;

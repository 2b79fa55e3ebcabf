/** Client of the instance list. */
package org.masticcroft.ports.instance;

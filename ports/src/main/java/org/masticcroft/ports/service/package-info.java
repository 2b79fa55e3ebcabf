/** Client of the plain services. */
package org.masticcroft.ports.service;

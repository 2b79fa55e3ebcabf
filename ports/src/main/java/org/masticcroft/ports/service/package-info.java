/**
 * Client of a plain service, which the client of the engines uses as well. Start with
 * {@link org.masticcroft.ports.service.ServiceClient}.
 */
package org.masticcroft.ports.service;

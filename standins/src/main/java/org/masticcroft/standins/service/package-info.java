/** Stand-in of a plain service. */
package org.masticcroft.standins.service;

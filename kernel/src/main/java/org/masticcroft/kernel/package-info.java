/** Domain types, configuration model and decision policies. */
package org.masticcroft.kernel;

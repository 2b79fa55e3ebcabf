/** Rate limiting of byte streams ({@code Pacer}) and values that readers see late ({@code LaggedValue}). */
package org.masticcroft.standins.time;

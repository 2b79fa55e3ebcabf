/** Settings of the service binary, from flags and environment variables. */
package org.masticcroft.service.setting;

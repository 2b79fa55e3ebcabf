/** Which upstream runs a request, and which request is served next. */
package org.masticcroft.gateway.dispatch;

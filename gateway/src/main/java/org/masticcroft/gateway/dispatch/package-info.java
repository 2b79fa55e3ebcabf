/**
 * Decides which upstream runs a request and which of the waiting requests is dispatched next. Start reading with
 * {@link org.masticcroft.gateway.dispatch.ServiceQueue}.
 */
package org.masticcroft.gateway.dispatch;

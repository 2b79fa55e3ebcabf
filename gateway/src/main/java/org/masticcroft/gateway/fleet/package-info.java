/** What the operator and the upstreams publish, and how a process follows it. */
package org.masticcroft.gateway.fleet;

/**
 * Stand-ins of the users' platform that speak its published protocol: the metadata store, an engine with its staging
 * area, an upstream with scripted responses, and the origin of weights. Start with {@link
 * org.masticcroft.standins.platform.PlatformStoreStandIn}.
 */
package org.masticcroft.standins.platform;

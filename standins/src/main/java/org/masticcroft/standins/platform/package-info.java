/**
 * Stand-ins of the users' platform that speak its published protocol: the metadata store, an engine with its staging
 * area, a plain service and the origin of weights.
 */
package org.masticcroft.standins.platform;

/**
 * Stand-ins for the platform and the upstreams, for tests and the demo. {@link org.masticcroft.standins.StandInMain}
 * runs one as its own process and is the class to start with; those in {@code platform} run inside a test.
 */
package org.masticcroft.standins;

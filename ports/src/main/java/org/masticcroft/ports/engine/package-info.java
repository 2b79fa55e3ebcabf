/**
 * Client of an engine: requests, the staging area, and the commands that load and unload weights. Start with
 * {@link org.masticcroft.ports.engine.EngineClient}.
 */
package org.masticcroft.ports.engine;

/** Event loop and small fakes of an engine and of a link. */
package org.masticcroft.experiments.replay;

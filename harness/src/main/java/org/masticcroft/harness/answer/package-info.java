/** Marks in the answers of the engine stand-in. */
package org.masticcroft.harness.answer;

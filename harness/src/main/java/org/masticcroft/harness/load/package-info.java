/**
 * Open-loop load from a seeded generator. Start reading with {@link org.masticcroft.harness.load.LoadDriver}.
 */
package org.masticcroft.harness.load;

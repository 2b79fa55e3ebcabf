/** Open-loop load with a seeded generator. */
package org.masticcroft.harness.load;

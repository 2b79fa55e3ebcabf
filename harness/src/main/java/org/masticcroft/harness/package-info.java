/**
 * Command-line tool that sends load to a running fleet, records events of test scripts, and checks the recorded history
 * against the invariants. Start reading with {@link org.masticcroft.harness.HarnessMain}.
 */
package org.masticcroft.harness;

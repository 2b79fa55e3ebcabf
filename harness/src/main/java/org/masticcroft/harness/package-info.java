/** Load driver, fault schedules and history checker for runs of real processes. */
package org.masticcroft.harness;

package org.masticcroft.entry.task;

import jakarta.inject.Qualifier;
import java.lang.annotation.Documented;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

/** Qualifies the thread pool that runs the events of requests. */
@Qualifier
@Documented
@Retention(RetentionPolicy.RUNTIME)
public @interface Workers {}

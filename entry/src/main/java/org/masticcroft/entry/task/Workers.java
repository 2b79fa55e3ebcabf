package org.masticcroft.entry.task;

import jakarta.inject.Qualifier;
import java.lang.annotation.Documented;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

/** Marks the pool of threads that run requests. */
@Qualifier
@Documented
@Retention(RetentionPolicy.RUNTIME)
public @interface Workers {}

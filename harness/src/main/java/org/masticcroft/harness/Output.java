package org.masticcroft.harness;

/** Form of a command's output. */
enum Output {
    TEXT,
    JSON
}

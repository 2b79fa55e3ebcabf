/**
 * Tokens in the answers of the engine stand-in, which identify from which prompt and weights an answer was produced.
 * Start reading with {@link org.masticcroft.harness.answer.AnswerToken}.
 */
package org.masticcroft.harness.answer;

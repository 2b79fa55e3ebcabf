/** The masticcroftd binary. */
package org.masticcroft.service;

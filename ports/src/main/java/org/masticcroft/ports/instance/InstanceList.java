package org.masticcroft.ports.instance;

import java.util.List;

/** The platform's list of instances. It lags behind reality. */
public interface InstanceList {
    /** Returns the newest list that could be read; empty before the first successful read. */
    List<Instance> instances();
}

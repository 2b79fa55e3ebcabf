package org.masticcroft.ports.instance;

import java.util.List;

/** The platform's list of instances. It may be out of date. */
public interface InstanceList {
    /** Returns the list of the last successful read; empty before the first one. */
    List<Instance> instances();
}

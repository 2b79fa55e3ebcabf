package org.masticcroft.kernel.config;

/** Stable codes of the problems that make a configuration folder invalid. */
public enum ProblemCode {
    /** The folder does not exist or cannot be listed. */
    FOLDER_UNREADABLE,
    /** The folder has no YAML file, or none of its files sets a key. */
    FOLDER_EMPTY,
    /** A file cannot be read. */
    FILE_UNREADABLE,
    /** A file is not valid YAML, or is not exactly one document with a map at the top level. */
    FILE_MALFORMED,
    /** A key does not exist in the configuration model. */
    KEY_UNKNOWN,
    /** A required key is missing. */
    KEY_MISSING,
    /** A key is set that only operator commands may change, such as {@code drained}. */
    KEY_RESERVED,
    /** A name has disallowed characters or is too long. */
    NAME_INVALID,
    /** A value has the wrong type. */
    TYPE_INVALID,
    /** A value is not a duration. */
    DURATION_INVALID,
    /** A value is not a digest of weights. */
    DIGEST_INVALID,
    /** The hash of a caller key is not a SHA-256 in lower-case hex. */
    HASH_INVALID,
    /** Two caller keys have the same hash. */
    HASH_DUPLICATE,
    /** The method or path of a route is not valid. */
    ROUTE_INVALID,
    /** A value is outside its range, or a required text is blank. */
    VALUE_OUT_OF_RANGE,
    /** The shares of all ranks add up to more than 1. */
    SHARES_EXCEED_ONE,
    /** Two ranks have the same order. */
    ORDER_DUPLICATE,
    /** A caller key refers to a rank that is not defined. */
    RANK_UNKNOWN,
    /** A caller key refers to a customer that is not defined. */
    CUSTOMER_UNKNOWN,
    /** A deployment refers to a model that is not defined. */
    MODEL_UNKNOWN,
    /** A deployment refers to a version that its model does not have. */
    VERSION_UNKNOWN,
    /** The adapter of a deployment is not a defined model and version. */
    ADAPTER_INVALID,
    /** A policy names a plug-in that does not exist. */
    POLICY_UNKNOWN
}

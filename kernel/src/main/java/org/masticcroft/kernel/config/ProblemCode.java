package org.masticcroft.kernel.config;

/** Stable codes of the problems that a configuration folder can have. */
public enum ProblemCode {
    FOLDER_UNREADABLE,
    FOLDER_EMPTY,
    FILE_UNREADABLE,
    FILE_MALFORMED,
    KEY_UNKNOWN,
    KEY_MISSING,
    KEY_RESERVED,
    NAME_INVALID,
    TYPE_INVALID,
    DURATION_INVALID,
    DIGEST_INVALID,
    HASH_INVALID,
    HASH_DUPLICATE,
    ROUTE_INVALID,
    VALUE_OUT_OF_RANGE,
    SHARES_EXCEED_ONE,
    ORDER_DUPLICATE,
    RANK_UNKNOWN,
    CUSTOMER_UNKNOWN,
    MODEL_UNKNOWN,
    VERSION_UNKNOWN,
    ADAPTER_INVALID,
    POLICY_UNKNOWN
}

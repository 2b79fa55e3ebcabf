package org.masticcroft.account.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A record of the audit account. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RequestRecord.class, name = "request"),
    @JsonSubTypes.Type(value = DispatchRecord.class, name = "dispatch"),
    @JsonSubTypes.Type(value = ChangeRecord.class, name = "change")
})
public sealed interface AuditRecord permits RequestRecord, DispatchRecord, ChangeRecord {}

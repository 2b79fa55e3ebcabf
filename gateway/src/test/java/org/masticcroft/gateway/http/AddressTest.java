package org.masticcroft.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressTest {
    @Test
    void consistsOfIpAndPort() {
        assertThat(Address.parse("10.0.0.1:65535")).isEqualTo(new Address("10.0.0.1", 65_535));
    }

    /** Guards against a host name in a record, whose lookup would block the event loop. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                ":80",
                "10.0.0.1",
                "10.0.0.1:",
                "10.0.0.1:0",
                "10.0.0.1:-1",
                "10.0.0.1:65536",
                "10.0.0.1:+80",
                "10.0.0.1:4294967376",
                "10.0.0.1: 80",
                "localhost:80",
                "engine.invalid:80",
                "1:80",
                "10.0.1:80",
                "300.0.0.1:80",
                "10.0.0.1:80:80",
                "[::1:80",
                "a b:80"
            })
    void isNothingElse(String text) {
        assertThatThrownBy(() -> Address.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}

package org.masticcroft.kernel.config;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.time.Duration;

/** JSON mapping of the configuration in log records and in the output of tools. */
public final class ConfigJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(new SimpleModule("masticcroft-duration")
                    .addSerializer(new DurationSerializer())
                    .addDeserializer(Duration.class, new DurationDeserializer()))
            .annotationIntrospector(new LenientIntrospector())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ConfigJson() {}

    /**
     * Returns the mapper for configuration. It accepts unknown and absent properties, because processes of different
     * releases must agree on whether a record of the log takes effect.
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    private static final class DurationSerializer extends StdScalarSerializer<Duration> {
        private static final long serialVersionUID = 1L;

        private DurationSerializer() {
            super(Duration.class);
        }

        @Override
        public void serialize(Duration value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            generator.writeString(DurationText.format(value));
        }
    }

    private static final class DurationDeserializer extends StdScalarDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        private DurationDeserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getText();
            return DurationText.parse(text)
                    .orElseThrow(() -> context.weirdStringException(text, Duration.class, "not a duration"));
        }
    }

    /**
     * Ignores {@code required}, which marks the keys that a configuration folder must contain and does not apply to
     * records that are already in the log.
     */
    private static final class LenientIntrospector extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public Boolean hasRequiredMarker(AnnotatedMember member) {
            return Boolean.FALSE;
        }
    }
}

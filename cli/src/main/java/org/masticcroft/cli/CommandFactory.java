package org.masticcroft.cli;

import java.lang.reflect.Constructor;
import picocli.CommandLine;

/** Instantiates command classes and passes the {@link CliContext} to each whose constructor takes it. */
final class CommandFactory implements CommandLine.IFactory {
    private final CliContext context;

    CommandFactory(CliContext context) {
        this.context = context;
    }

    @Override
    public <K> K create(Class<K> type) throws Exception {
        for (Constructor<?> constructor : type.getDeclaredConstructors()) {
            if (constructor.getParameterCount() == 1 && constructor.getParameterTypes()[0] == CliContext.class) {
                constructor.setAccessible(true);
                return type.cast(constructor.newInstance(context));
            }
        }
        return CommandLine.defaultFactory().create(type);
    }
}

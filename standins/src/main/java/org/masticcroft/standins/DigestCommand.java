package org.masticcroft.standins;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

@Command(name = "digest", description = "Prints the weights digest of each --model, one a line.")
final class DigestCommand implements Callable<Integer> {
    @Mixin
    private StoreCommand.ModelOptions models;

    @Override
    public Integer call() {
        models.weights().forEach(weights -> System.out.println(weights.digest()));
        return 0;
    }
}

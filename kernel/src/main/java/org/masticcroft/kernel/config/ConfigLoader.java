package org.masticcroft.kernel.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/** Loads and validates a configuration folder, whose YAML files are merged in the order of their names. */
public final class ConfigLoader {
    private static final String SUFFIX = ".yaml";
    private static final ObjectMapper YAML = YAMLMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final Path folder;
    private final PolicyNames policyNames;
    private final MergedTree merged = new MergedTree();
    private final ProblemList problems = new ProblemList();

    private ConfigLoader(Path folder, PolicyNames policyNames) {
        this.folder = folder;
        this.policyNames = policyNames;
    }

    /** Loads a folder and checks policy names against the plug-ins on the class path. */
    public static ConfigResult load(Path folder) {
        return load(folder, PolicyNames.registered());
    }

    /** Loads a folder and checks policy names against {@code policyNames}. */
    public static ConfigResult load(Path folder, PolicyNames policyNames) {
        Objects.requireNonNull(policyNames, "policyNames");
        return new ConfigLoader(Objects.requireNonNull(folder, "folder"), policyNames).load();
    }

    private ConfigResult load() {
        yamlFiles().forEach(this::mergeFile);
        if (problems.isEmpty() && merged.root().isEmpty()) {
            problems.addForFile(ProblemCode.FOLDER_EMPTY, "", "no file in " + folder + " sets a key");
        }
        Provenance provenance = merged.provenance();
        problems.setProvenance(provenance);
        ObjectNode tree = merged.root().deepCopy();
        new SchemaCheck(problems).check(tree);
        FleetConfig config = ConfigJson.mapper().convertValue(tree, FleetConfig.class);
        new ConfigValidator(config, tree, policyNames, problems).validate();
        return problems.isEmpty()
                ? new ConfigResult.Valid(config, provenance)
                : new ConfigResult.Invalid(problems.sorted());
    }

    private List<Path> yamlFiles() {
        if (!Files.isDirectory(folder)) {
            problems.addForFile(ProblemCode.FOLDER_UNREADABLE, "", folder + " is not a folder");
            return List.of();
        }
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> files = entries.filter(
                            file -> file.getFileName().toString().endsWith(SUFFIX))
                    .sorted((a, b) ->
                            a.getFileName().toString().compareTo(b.getFileName().toString()))
                    .toList();
            if (files.isEmpty()) {
                problems.addForFile(ProblemCode.FOLDER_EMPTY, "", folder + " contains no file named *" + SUFFIX);
            }
            return files;
        } catch (IOException e) {
            problems.addForFile(ProblemCode.FOLDER_UNREADABLE, "", folder + " cannot be listed: " + e.getMessage());
            return List.of();
        }
    }

    private void mergeFile(Path file) {
        String name = file.getFileName().toString();
        try (MappingIterator<JsonNode> documents =
                YAML.readerFor(JsonNode.class).readValues(file.toFile())) {
            if (!documents.hasNextValue()) {
                return;
            }
            JsonNode content = documents.nextValue();
            if (documents.hasNextValue()) {
                problems.addForFile(ProblemCode.FILE_MALFORMED, name, "has more than one YAML document");
            } else if (content instanceof ObjectNode map) {
                merged.add(name, map);
            } else if (!content.isNull() && !content.isMissingNode()) {
                problems.addForFile(ProblemCode.FILE_MALFORMED, name, "must be a map at the top level");
            }
        } catch (JsonProcessingException e) {
            String position =
                    e.getLocation() == null ? "" : " in line " + e.getLocation().getLineNr();
            problems.addForFile(ProblemCode.FILE_MALFORMED, name, "is not valid YAML" + position + ": " + firstLine(e));
        } catch (IOException e) {
            problems.addForFile(ProblemCode.FILE_UNREADABLE, name, "cannot be read: " + e.getMessage());
        }
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("syntax error");
    }
}

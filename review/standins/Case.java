package review;

import java.io.IOException;
import java.nio.file.Path;

/** Runs the scenarios of a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
public final class Case {
    private static final int RULE_HELD = 0;
    private static final int RULE_BROKEN = 1;
    private static final int CANNOT_RUN = 2;

    private Case() {}

    /** Takes the names of one or more scenarios and the folder of the case; TROUBLE=0 leaves the disruption out. */
    public static void main(String[] arguments) {
        int exit = CANNOT_RUN;
        try {
            exit = run(arguments[0], Path.of(arguments[1], "record.txt"), !"0".equals(System.getenv("TROUBLE")));
        } catch (IOException | RuntimeException e) {
            System.err.println("cannot run: " + e);
        }
        System.exit(exit);
    }

    private static int run(String names, Path recordFile, boolean trouble) throws IOException {
        int exit = RULE_HELD;
        try (CaseRecord record = new CaseRecord(recordFile)) {
            for (String name : names.split(",")) {
                record.write("case %s, disruption %s", name, trouble ? "on" : "off");
                exit = Math.max(exit, run(name, record, trouble));
            }
        }
        return exit;
    }

    private static int run(String name, CaseRecord record, boolean trouble) throws IOException {
        try (Deployment deployment = Deployment.create()) {
            try {
                boolean broken = scenario(name).run(deployment, record, trouble);
                record.write("%s", broken ? "RULE BROKEN" : "rule held");
                return broken ? RULE_BROKEN : RULE_HELD;
            } catch (Exception e) {
                record.write("could not run: %s", e);
                record.write("entry: %s", deployment.log("entry"));
                record.write("sidecar: %s", deployment.log("sidecar"));
                return CANNOT_RUN;
            }
        }
    }

    private static Scenario scenario(String name) {
        return switch (name) {
            case "withdrawn-keys" -> new WithdrawnKeys();
            case "stop-during-upload" -> new StopDuringUpload();
            case "stop-during-stream" -> new StopDuringStream();
            case "late-news" -> new LateNews();
            case "crashing-order" -> new CrashingOrder();
            case "store-outage" -> new StoreOutage();
            default -> throw new IllegalArgumentException("unknown case " + name);
        };
    }

    /** Returns whether the rule was broken. */
    interface Scenario {
        boolean run(Deployment deployment, CaseRecord record, boolean trouble) throws Exception;
    }
}

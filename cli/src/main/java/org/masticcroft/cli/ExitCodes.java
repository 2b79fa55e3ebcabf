package org.masticcroft.cli;

/** Exit codes of all commands. */
public final class ExitCodes {
    /** The command did what it was asked, or the configuration is accepted. */
    public static final int OK = 0;

    /** A problem was found, for example in a configuration folder. */
    public static final int PROBLEM = 1;

    /** The command line or a setting is not valid. */
    public static final int USAGE = 2;

    /** The configuration is committed but not yet in force on every listed live instance. */
    public static final int NOT_YET_IN_FORCE = 3;

    /** Another operator's update came first; nothing of this one takes effect. */
    public static final int LOST_RACE = 4;

    /** The platform is unavailable, or the result is not known. */
    public static final int UNAVAILABLE = 5;

    private ExitCodes() {}
}

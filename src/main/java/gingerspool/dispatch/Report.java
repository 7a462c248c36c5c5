package gingerspool.dispatch;

/** Indexes of the values in a load report, an array; values not reported are NaN. */
public final class Report {
    public static final int IN_FLIGHT = 0;
    public static final int QUEUE = 1;
    public static final int UTILISATION = 2;
    public static final int RATE = 3;
    public static final int ERRORS = 4;
    public static final int FREE_SLOTS = 5;
    public static final int FREE_MEMORY = 6;
    public static final int SIZE = 7;

    private Report() {}
}

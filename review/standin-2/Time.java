/** Waits on the real clock. */
final class Time {
    /** Returns true once a condition holds. */
    interface Condition {
        boolean holds();
    }

    private Time() {}

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns true if [condition] holds within [maxMs]. */
    static boolean await(long maxMs, Condition condition) {
        long endNs = System.nanoTime() + maxMs * 1_000_000;
        while (System.nanoTime() < endNs) {
            if (condition.holds()) return true;
            sleep(50);
        }
        return condition.holds();
    }
}

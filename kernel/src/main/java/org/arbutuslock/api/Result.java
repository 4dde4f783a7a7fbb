package org.arbutuslock.api;

/**
 * Outcome of an operation whose failure is expected and is returned rather than thrown.
 *
 * <pre>{@code
 * switch (loader.load(path)) {
 *     case Result.Success<Settings>(Settings settings) -> start(settings);
 *     case Result.Failed<Settings>(Failure failure) -> report(failure);
 * }
 * }</pre>
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {
    /**
     * Outcome of an operation that succeeded.
     *
     * @param value result of the operation
     * @param <T> type of the value
     */
    record Success<T>(T value) implements Result<T> {}

    /**
     * Outcome of an operation that failed.
     *
     * @param failure description of the failure
     * @param <T> type of the value that the operation would have produced
     */
    record Failed<T>(Failure failure) implements Result<T> {}

    /**
     * Creates a successful outcome.
     *
     * @param value result of the operation
     * @param <T> type of the value
     * @return a success
     */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /**
     * Creates a failed outcome.
     *
     * @param step operation that failed
     * @param peer address or name of the process where the operation failed
     * @param reason cause of the failure and how to resolve it
     * @param <T> type of the value that the operation would have produced
     * @return a failure
     */
    static <T> Result<T> failed(String step, String peer, String reason) {
        return new Failed<>(new Failure(step, peer, reason));
    }
}

package org.arbutuslock.api;

/**
 * Outcome of a step that can fail in an expected way.
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
     * A step that worked.
     *
     * @param value what it produced
     * @param <T> type of the value
     */
    record Success<T>(T value) implements Result<T> {}

    /**
     * A step that failed.
     *
     * @param failure what went wrong and where
     * @param <T> type of the value that is missing
     */
    record Failed<T>(Failure failure) implements Result<T> {}

    /**
     * Wraps a value.
     *
     * @param value what the step produced
     * @param <T> type of the value
     * @return a success
     */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /**
     * Describes a failure.
     *
     * @param step what was being done
     * @param peer where the failure arose
     * @param reason what happened and what to do about it
     * @param <T> type of the value that is missing
     * @return a failure
     */
    static <T> Result<T> failed(String step, String peer, String reason) {
        return new Failed<>(new Failure(step, peer, reason));
    }
}

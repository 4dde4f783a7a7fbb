package org.arbutuslock.internal.routing;

/**
 * Steps through the segments of a path. The path {@code /a/b} has the segments {@code a} and {@code
 * b}; {@code /} has one empty segment.
 */
final class PathSegments {
    private final String mPath;
    private final int mEnd;
    private int mNextStart;
    private String mCurrent = "";

    private PathSegments(String path, int end, int nextStart) {
        mPath = path;
        mEnd = end;
        mNextStart = nextStart;
    }

    /** Steps through the path of a request target, up to its query. */
    static PathSegments ofRequest(String target) {
        int query = target.indexOf('?');
        int end = query < 0 ? target.length() : query;
        boolean absolute = end > 0 && target.charAt(0) == '/';
        return new PathSegments(target, end, absolute ? 1 : end + 1);
    }

    /** Steps through the path of a route. The prefix {@code /} has no segments. */
    static PathSegments ofRoute(String path, boolean prefix) {
        boolean everything = prefix && path.equals("/");
        return new PathSegments(path, path.length(), everything ? path.length() + 1 : 1);
    }

    boolean advance() {
        if (mNextStart > mEnd) {
            return false;
        }
        int slash = mPath.indexOf('/', mNextStart);
        int segmentEnd = slash < 0 || slash > mEnd ? mEnd : slash;
        mCurrent = mPath.substring(mNextStart, segmentEnd);
        mNextStart = segmentEnd + 1;
        return true;
    }

    String current() {
        return mCurrent;
    }
}

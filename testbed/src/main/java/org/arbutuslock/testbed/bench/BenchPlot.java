package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;

/** A plot with labelled axes and one or more named series. */
final class BenchPlot {
    private final String mTitle;
    private final String mHorizontal;
    private final String mVertical;
    private final List<Series> mSeries = new ArrayList<>();

    /** Points of one series; both lists have the same length. */
    record Series(String name, List<Double> horizontal, List<Double> vertical) {}

    BenchPlot(String title, String horizontal, String vertical) {
        mTitle = title;
        mHorizontal = horizontal;
        mVertical = vertical;
    }

    /** Adds a point to a series and creates the series if it does not exist. */
    BenchPlot point(String series, double horizontal, double vertical) {
        Series target =
                mSeries.stream()
                        .filter(known -> known.name().equals(series))
                        .findFirst()
                        .orElseGet(() -> create(series));
        target.horizontal().add(horizontal);
        target.vertical().add(vertical);
        return this;
    }

    private Series create(String name) {
        Series series = new Series(name, new ArrayList<>(), new ArrayList<>());
        mSeries.add(series);
        return series;
    }

    String title() {
        return mTitle;
    }

    String horizontal() {
        return mHorizontal;
    }

    String vertical() {
        return mVertical;
    }

    List<Series> series() {
        return mSeries;
    }
}

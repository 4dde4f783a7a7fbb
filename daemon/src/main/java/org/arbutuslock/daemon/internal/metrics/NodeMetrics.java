package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.sessions.SentBytes;
import org.arbutuslock.daemon.internal.sessions.SessionCounts;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.selection.ZoneDistance;

/** Metrics of the store, the sessions and the configuration of this node. */
final class NodeMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock mClock;
    private final ConfigurationHolder mConfiguration;
    private long mSeenRevision;
    private volatile long mChangedNanos;

    NodeMetrics(
            MeterRegistry registry,
            Clock clock,
            ConfigurationHolder configuration,
            MonitoredStore store,
            SessionCounts sessions) {
        mClock = clock;
        mConfiguration = configuration;
        mChangedNanos = clock.nanoTime();
        registerConfiguration(registry);
        registerStore(registry, store);
        gauge(
                registry,
                "arbutuslock.sessions.open",
                "sessions with other nodes",
                sessions,
                s -> s.open());
        counter(
                registry,
                "arbutuslock.sessions.silent",
                "sessions given up because a heartbeat got no reply",
                sessions,
                SessionCounts::silent);
        registerSentBytes(registry, sessions.sentBytes());
    }

    private static void registerSentBytes(MeterRegistry registry, SentBytes sent) {
        for (SentBytes.Purpose purpose : SentBytes.Purpose.values()) {
            for (ZoneDistance distance : ZoneDistance.values()) {
                FunctionCounter.builder(
                                "arbutuslock.sessions.sent",
                                sent,
                                source -> source.sum(purpose, distance))
                        .description("bytes sent to other nodes")
                        .baseUnit("bytes")
                        .tag("purpose", purpose.name().toLowerCase(Locale.ROOT))
                        .tag("distance", distance.name().toLowerCase(Locale.ROOT))
                        .register(registry);
            }
        }
    }

    /** Records the time of a change of the revision in force. Not thread-safe. */
    void refresh() {
        long revision = mConfiguration.current().revision();
        if (revision != mSeenRevision) {
            mSeenRevision = revision;
            mChangedNanos = mClock.nanoTime();
        }
    }

    private void registerConfiguration(MeterRegistry registry) {
        gauge(
                registry,
                "arbutuslock.configuration.revision",
                "revision of the configuration in force",
                mConfiguration,
                holder -> holder.current().revision());
        gauge(
                registry,
                "arbutuslock.configuration.age.seconds",
                "time since another revision came into force at this node, or since its start",
                this,
                metrics ->
                        TimeUnit.NANOSECONDS.toMillis(
                                        metrics.mClock.nanoTime() - metrics.mChangedNanos)
                                / MILLIS_PER_SECOND);
    }

    private static void registerStore(MeterRegistry registry, MonitoredStore store) {
        gauge(
                registry,
                "arbutuslock.store.reachable",
                "1 when the newest call got a response",
                store,
                s -> s.health().reachable() ? 1 : 0);
        gauge(
                registry,
                "arbutuslock.store.silence.seconds",
                "time since the last response of the store",
                store,
                s -> s.sinceSuccess().toMillis() / MILLIS_PER_SECOND);
        counter(registry, "arbutuslock.store.calls", "calls", store, MonitoredStore::calls);
        counter(
                registry,
                "arbutuslock.store.failures",
                "calls without a response and ended watches",
                store,
                MonitoredStore::failures);
        counter(
                registry,
                "arbutuslock.store.writes.unknown",
                "writes whose response was lost",
                store,
                MonitoredStore::unknownWrites);
    }

    private static <T> void gauge(
            MeterRegistry registry,
            String name,
            String description,
            T source,
            ToDoubleFunction<T> value) {
        Gauge.builder(name, source, value)
                .description(description)
                .strongReference(true)
                .register(registry);
    }

    private static <T> void counter(
            MeterRegistry registry,
            String name,
            String description,
            T source,
            ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, source, value).description(description).register(registry);
    }
}

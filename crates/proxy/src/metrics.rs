//! The proxy's metrics, recorded with `opentelemetry` and served at `/metrics`.
//!
//! Metrics are pulled, not pushed: a manual reader collects them for each request to the endpoint.

use std::{
    fmt::Write,
    sync::{Arc, Weak},
};

use dandelionpitch_engine::slots::Load;
use opentelemetry::{
    metrics::{Counter, Gauge, Histogram, MeterProvider},
    KeyValue,
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    metrics::{
        data::{AggregatedMetrics, MetricData, ResourceMetrics},
        reader::MetricReader,
        InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
    },
};
use serde::Serialize;

/// The instruments the proxy records into.
#[derive(Clone, Debug)]
pub struct Metrics {
    reads: Counter<u64>,
    reads_moved: Counter<u64>,
    writes: Counter<u64>,
    refusals: Counter<u64>,
    statements: Counter<u64>,
    promotions: Counter<u64>,
    pool_wait: Histogram<f64>,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    connections: Counter<u64>,
    store_errors: Counter<u64>,
    seed_copies: Counter<u64>,
    invalid_entries: Counter<u64>,
    forwarded: Counter<u64>,
    account_operations: Counter<u64>,
    quota_draws: Counter<u64>,
    recovery_waits: Counter<u64>,
    running: Gauge<u64>,
    idle_in_transaction: Gauge<u64>,
    waiting: Gauge<u64>,
    log_lines_dropped: Gauge<u64>,
    version: Gauge<u64>,
    changes_age: Gauge<u64>,
    store_era: Gauge<u64>,
    reader: Arc<ManualReader>,
    _provider: SdkMeterProvider,
}

/// Bucket boundaries of the latency histogram.
const LATENCY_BOUNDS_SECS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The role of the server that a read was sent to.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Primary,
    Replica,
}

/// What became of a statement that found no primary.
#[derive(Clone, Copy, Debug)]
pub enum Wait {
    /// It began to wait for one.
    Waited,
    /// It was run after it had waited.
    Served,
    /// It was refused with an estimate of when to come back.
    Refused,
}

/// One value of a metric, as served at `/metrics`.
#[derive(Debug, Serialize)]
pub struct Sample {
    pub name: String,
    pub attributes: Vec<(String, String)>,
    pub value: f64,
}

#[derive(Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline)
    }

    fn collect(&self, rm: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(rm)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: std::time::Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

impl Default for Metrics {
    /// Creates the instruments on a meter provider of their own, with a manual reader.
    fn default() -> Self {
        let reader = Arc::new(ManualReader::builder().build());
        let provider = SdkMeterProvider::builder()
            .with_reader(SharedReader(reader.clone()))
            .build();
        let meter = provider.meter("dandelionpitch");
        Self {
            reads: meter.u64_counter("reads").build(),
            reads_moved: meter.u64_counter("reads_moved_for_lag").build(),
            writes: meter.u64_counter("writes").build(),
            refusals: meter.u64_counter("refusals").build(),
            statements: meter.u64_counter("statements").build(),
            promotions: meter.u64_counter("promotions").build(),
            pool_wait: meter.f64_histogram("pool_wait_seconds").build(),
            answers: meter.u64_counter("answers").build(),
            latency: meter
                .f64_histogram("latency_seconds")
                .with_boundaries(LATENCY_BOUNDS_SECS.to_vec())
                .build(),
            attempts: meter.u64_counter("attempts").build(),
            connections: meter.u64_counter("connections_opened").build(),
            store_errors: meter.u64_counter("store_errors").build(),
            seed_copies: meter.u64_counter("seed_copies").build(),
            invalid_entries: meter.u64_counter("entries_passed_over").build(),
            forwarded: meter.u64_counter("statements_handed_over").build(),
            account_operations: meter.u64_counter("account_operations").build(),
            quota_draws: meter.u64_counter("quota_draws").build(),
            recovery_waits: meter.u64_counter("recovery_waits").build(),
            running: meter.u64_gauge("connections_running").build(),
            idle_in_transaction: meter.u64_gauge("connections_idle_in_transaction").build(),
            waiting: meter.u64_gauge("statements_waiting").build(),
            log_lines_dropped: meter.u64_gauge("log_lines_dropped").build(),
            changes_age: meter.u64_gauge("store_changes_age_ms").build(),
            store_era: meter.u64_gauge("store_era").build(),
            version: meter.u64_gauge("configuration_version").build(),
            reader,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Counts a read sent to a server with the role `target`.
    pub fn read(&self, target: Target) {
        let name = match target {
            Target::Primary => "primary",
            Target::Replica => "replica",
        };
        self.reads.add(1, &[KeyValue::new("target", name)]);
    }

    /// Counts a read for which a replica is passed over because it lags.
    pub fn read_moved(&self) {
        self.reads_moved.add(1, &[]);
    }

    /// Counts a write or transaction statement sent to the primary.
    pub fn write(&self) {
        self.writes.add(1, &[]);
    }

    /// Counts a refusal by its SQLSTATE.
    pub fn refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts an answered query string, for the burn rate of the service level objective. `ok` is
    /// `false` if the proxy could not run it or does not know its outcome.
    pub fn statement(&self, ok: bool) {
        let outcome = match ok {
            true => "ok",
            false => "failed",
        };
        self.statements.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a primary that this proxy replaced.
    pub fn promotion(&self) {
        self.promotions.add(1, &[]);
    }

    /// Counts an answer to a caller on `route` by outcome (`ok` or the refusal's code), and records
    /// its latency.
    pub fn answer(&self, route: &str, outcome: &str, seconds: f64) {
        let route = KeyValue::new("route", route.to_owned());
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.answers.add(1, &[route.clone(), outcome]);
        self.latency.record(seconds, &[route]);
    }

    /// Counts an attempt to run a statement that a server did not complete, by reason.
    pub fn attempt(&self, reason: &str) {
        self.attempts
            .add(1, &[KeyValue::new("reason", reason.to_owned())]);
    }

    /// Counts a connection opened to a server of `service`.
    pub fn connection(&self, service: &str) {
        self.connections
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a failed request to the platform's key-value store.
    pub fn store_error(&self) {
        self.store_errors.add(1, &[]);
    }

    /// Counts a copy of the store's content that this process took from a seed when it started.
    pub fn seed_copy(&self) {
        self.seed_copies.add(1, &[]);
    }

    /// Counts an entry of the store that cannot be parsed as a server or proxy.
    pub fn invalid_entry(&self) {
        self.invalid_entries.add(1, &[]);
    }

    /// Counts a statement forwarded to another proxy.
    pub fn forwarded(&self) {
        self.forwarded.add(1, &[]);
    }

    /// Counts an operation of a client account, which its quota admitted or not. The SDK limits the
    /// number of series.
    pub fn account_operation(&self, account: &str, admitted: bool) {
        let outcome = match admitted {
            true => "admitted",
            false => "refused",
        };
        let account = KeyValue::new("account", account.to_owned());
        let outcome = KeyValue::new("outcome", outcome);
        self.account_operations.add(1, &[account, outcome]);
    }

    /// Counts a request for quota permits to another proxy.
    pub fn quota_draw(&self) {
        self.quota_draws.add(1, &[]);
    }

    /// Counts what became of a statement that found no primary.
    pub fn recovery_wait(&self, wait: Wait) {
        let outcome = match wait {
            Wait::Waited => "waited",
            Wait::Served => "served",
            Wait::Refused => "refused",
        };
        self.recovery_waits
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records what the connections to the servers of `service` are used for. The SDK limits the number
    /// of series.
    pub fn load(&self, service: &str, load: Load) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.running.record(load.running as u64, &service);
        self.idle_in_transaction
            .record(load.idle_in_transaction as u64, &service);
        self.waiting.record(load.waiting as u64, &service);
    }

    /// Records the total number of log lines dropped because standard output was not read.
    pub fn log_lines_dropped(&self, lines: u64) {
        self.log_lines_dropped.record(lines, &[]);
    }

    /// Records an upper bound on the staleness of the local copy of the store, in milliseconds.
    pub fn changes_age(&self, millis: u64) {
        self.changes_age.record(millis, &[]);
    }

    /// Records how often the store has been restored from a backup, as far as this process knows.
    pub fn store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Records the version of the applied configuration.
    pub fn version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Records how long a statement waited for a pooled connection.
    pub fn pool_wait(&self, seconds: f64) {
        self.pool_wait.record(seconds, &[]);
    }

    /// The current samples as text, one per line: name, attributes in braces, value.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for sample in self.samples() {
            let attributes: Vec<String> = sample
                .attributes
                .iter()
                .map(|(key, value)| format!("{key}={value:?}"))
                .collect();
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                out,
                "{}{{{}}} {}",
                sample.name,
                attributes.join(","),
                sample.value
            );
        }
        out
    }

    /// The current samples: the value of a counter or gauge; the buckets, count and sum of a
    /// histogram.
    pub fn samples(&self) -> Vec<Sample> {
        let mut collected = ResourceMetrics::default();
        if self.reader.collect(&mut collected).is_err() {
            return Vec::new();
        }
        let mut samples = Vec::new();
        for scope in collected.scope_metrics() {
            for metric in scope.metrics() {
                push_samples(&mut samples, metric.name(), metric.data());
            }
        }
        samples
    }
}

fn attributes<'a>(pairs: impl Iterator<Item = &'a KeyValue>) -> Vec<(String, String)> {
    let mut attributes: Vec<(String, String)> = pairs
        .map(|pair| (pair.key.to_string(), pair.value.to_string()))
        .collect();
    // The SDK returns attributes in arbitrary order; the output must be stable.
    attributes.sort_unstable();
    attributes
}

/// Appends a histogram's buckets with cumulative counts, as in the Prometheus format.
fn push_buckets(
    samples: &mut Vec<Sample>,
    name: &str,
    base: &[(String, String)],
    bounds: impl Iterator<Item = f64>,
    counts: impl Iterator<Item = u64>,
) {
    let mut cumulative = 0;
    let bounds = bounds.map(|bound| bound.to_string());
    for (bound, count) in bounds.chain(["+Inf".to_owned()]).zip(counts) {
        cumulative += count;
        let mut attributes = base.to_vec();
        attributes.push(("le".to_owned(), bound));
        samples.push(Sample {
            name: format!("{name}_bucket"),
            attributes,
            value: cumulative as f64,
        });
    }
}

fn push_samples(samples: &mut Vec<Sample>, name: &str, data: &AggregatedMetrics) {
    match data {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                samples.push(Sample {
                    name: name.to_owned(),
                    attributes: attributes(point.attributes()),
                    value: point.value() as f64,
                });
            }
        }
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => {
            for point in gauge.data_points() {
                samples.push(Sample {
                    name: name.to_owned(),
                    attributes: attributes(point.attributes()),
                    value: point.value() as f64,
                });
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                let base = attributes(point.attributes());
                push_buckets(samples, name, &base, point.bounds(), point.bucket_counts());
                samples.push(Sample {
                    name: format!("{name}_count"),
                    attributes: base.clone(),
                    value: point.count() as f64,
                });
                samples.push(Sample {
                    name: format!("{name}_sum"),
                    attributes: base,
                    value: point.sum(),
                });
            }
        }
        _ => {}
    }
}

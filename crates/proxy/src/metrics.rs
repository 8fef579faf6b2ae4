//! Metrics through `opentelemetry`, read on demand by the operator endpoint `/metrics`.
//!
//! The SDK aggregates; a manual reader collects when an operator asks, so nothing is sent
//! anywhere unless somebody looks.

use std::{
    fmt::Write,
    sync::{Arc, Weak},
};

use opentelemetry::{
    metrics::{Counter, Histogram, MeterProvider},
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
    writes: Counter<u64>,
    refusals: Counter<u64>,
    statements: Counter<u64>,
    promotions: Counter<u64>,
    pool_wait: Histogram<f64>,
    reader: Arc<ManualReader>,
    _provider: SdkMeterProvider,
}

/// Where a read went.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Primary,
    Replica,
}

/// One figure as `/metrics` shows it.
#[derive(Debug, Serialize)]
pub struct Figure {
    pub name: String,
    pub attributes: Vec<(String, String)>,
    pub value: f64,
}

#[derive(Debug)]
struct Shared(Arc<ManualReader>);

impl MetricReader for Shared {
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
    /// A meter provider with a manual reader, and the proxy's instruments.
    fn default() -> Self {
        let reader = Arc::new(ManualReader::builder().build());
        let provider = SdkMeterProvider::builder()
            .with_reader(Shared(reader.clone()))
            .build();
        let meter = provider.meter("dandelionpitch");
        Self {
            reads: meter.u64_counter("reads").build(),
            writes: meter.u64_counter("writes").build(),
            refusals: meter.u64_counter("refusals").build(),
            statements: meter.u64_counter("statements").build(),
            promotions: meter.u64_counter("promotions").build(),
            pool_wait: meter.f64_histogram("pool_wait_seconds").build(),
            reader,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Counts a read served by `target`.
    pub fn read(&self, target: Target) {
        let name = match target {
            Target::Primary => "primary",
            Target::Replica => "replica",
        };
        self.reads.add(1, &[KeyValue::new("target", name)]);
    }

    /// Counts a write or transaction statement sent to the primary.
    pub fn write(&self) {
        self.writes.add(1, &[]);
    }

    /// Counts a refusal by its SQLSTATE.
    pub fn refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a query string that has been answered, for the report on service-level burn; `ok`
    /// unless the proxy itself failed it.
    pub fn statement(&self, ok: bool) {
        let outcome = match ok {
            true => "ok",
            false => "failed",
        };
        self.statements.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a primary this proxy replaced.
    pub fn promotion(&self) {
        self.promotions.add(1, &[]);
    }

    /// Records how long a statement waited for a pooled connection.
    pub fn pool_wait(&self, seconds: f64) {
        self.pool_wait.record(seconds, &[]);
    }

    /// The current figures as text, one a line: name, attributes in braces, value.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for figure in self.figures() {
            let attributes: Vec<String> = figure
                .attributes
                .iter()
                .map(|(key, value)| format!("{key}={value:?}"))
                .collect();
            // Writing to a string cannot fail.
            let _ = writeln!(
                out,
                "{}{{{}}} {}",
                figure.name,
                attributes.join(","),
                figure.value
            );
        }
        out
    }

    /// The current figures: sums as their value, histograms as their count and sum.
    pub fn figures(&self) -> Vec<Figure> {
        let mut collected = ResourceMetrics::default();
        if self.reader.collect(&mut collected).is_err() {
            return Vec::new();
        }
        let mut figures = Vec::new();
        for scope in collected.scope_metrics() {
            for metric in scope.metrics() {
                push(&mut figures, metric.name(), metric.data());
            }
        }
        figures
    }
}

fn attributes<'a>(pairs: impl Iterator<Item = &'a KeyValue>) -> Vec<(String, String)> {
    pairs
        .map(|pair| (pair.key.to_string(), pair.value.to_string()))
        .collect()
}

fn push(figures: &mut Vec<Figure>, name: &str, data: &AggregatedMetrics) {
    match data {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                figures.push(Figure {
                    name: name.to_owned(),
                    attributes: attributes(point.attributes()),
                    value: point.value() as f64,
                });
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                let base = attributes(point.attributes());
                figures.push(Figure {
                    name: format!("{name}_count"),
                    attributes: base.clone(),
                    value: point.count() as f64,
                });
                figures.push(Figure {
                    name: format!("{name}_sum"),
                    attributes: base,
                    value: point.sum(),
                });
            }
        }
        _ => {}
    }
}

//! Metrics in the Prometheus text format.

use std::sync::Arc;

use citronhollow_core::unusable::UnusableInputs;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntGauge, Registry, TextEncoder};

/// Registers a gauge.
///
/// # Panics
///
/// If the name is invalid or already registered. Names are constants, so that a test of the process
/// finds this.
#[must_use]
pub fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("a valid name");
    registry
        .register(Box::new(gauge.clone()))
        .expect("a name of its own");
    gauge
}

/// Renders all metrics of a registry as text.
#[must_use]
pub fn render(registry: &Registry) -> String {
    let mut text = String::new();
    let encoded = TextEncoder::new().encode_utf8(&registry.gather(), &mut text);
    if let Err(err) = encoded {
        log::warn!("metrics: not encoded: {err}");
    }
    text
}

/// Registers the counter of inputs that cannot be used, and returns it.
///
/// # Panics
///
/// If it is already registered.
#[must_use]
pub fn unusable_inputs(registry: &Registry) -> Arc<UnusableInputs> {
    let counter = IntCounter::new(
        "citronhollow_unusable_inputs_total",
        "Objects and messages of others that could not be used",
    );
    let inputs = Arc::<UnusableInputs>::default();
    let collector = UnusableCollector {
        inputs: Arc::clone(&inputs),
        counter: counter.expect("a valid name"),
    };
    let registered = registry.register(Box::new(collector));
    registered.expect("a name of its own");
    inputs
}

/// Copies the number of unusable inputs to its metric when the metrics are read.
struct UnusableCollector {
    inputs: Arc<UnusableInputs>,
    counter: IntCounter,
}

impl Collector for UnusableCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.counter.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.counter.reset();
        self.counter.inc_by(self.inputs.total());
        self.counter.collect()
    }
}

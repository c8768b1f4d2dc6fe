//! Metrics in the Prometheus text format.

use prometheus::{IntGauge, Registry, TextEncoder};

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

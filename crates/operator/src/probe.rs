//! HTTP server of a process in pass-through delivery: readiness probe and metrics.

use std::io;
use std::sync::Arc;

use prometheus::Registry;
use tokio::net::TcpListener;
use volo_http::http::StatusCode;
use volo_http::server::Server;
use volo_http::server::route::{Router, get};

use crate::{exposition, listener};

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Serves the readiness probe at `ready_path` and the metrics of `registry` until the process ends.
///
/// The probe is answered with 200 while `is_ready` returns true, else with 503.
///
/// # Errors
///
/// I/O error if the signal handlers cannot be installed.
pub async fn serve(
    listener: TcpListener,
    ready_path: &'static str,
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
    registry: Registry,
) -> io::Result<()> {
    let is_ready = Arc::new(is_ready);
    listener::serve(listener, |incoming| {
        let is_ready = Arc::clone(&is_ready);
        let answer = move || {
            let status = if is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            async move { status }
        };
        let registry = registry.clone();
        let metrics = move || {
            let text = exposition::render(&registry);
            async move { text }
        };
        let router = Router::new()
            .route(ready_path, get(answer))
            .route(METRICS_PATH, get(metrics));
        Server::new(router).run(incoming)
    })
    .await
}

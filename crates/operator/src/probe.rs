//! The answer to whoever asks whether this process takes traffic.

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use volo_http::http::StatusCode;
use volo_http::server::Server;
use volo_http::server::route::{Router, get};

use crate::listener;

/// Answers `GET path` with 200 while `is_ready` says so, else with 503, until the process ends.
///
/// # Errors
///
/// The error of the signal handlers.
pub async fn serve(
    listener: TcpListener,
    path: &'static str,
    is_ready: impl Fn() -> bool + Send + Sync + 'static,
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
        Server::new(Router::new().route(path, get(answer))).run(incoming)
    })
    .await
}

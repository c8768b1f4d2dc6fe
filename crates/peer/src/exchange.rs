//! One request and one reply over TCP, each within a deadline.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::codec::{CodecError, StreamCodec};
use crate::key::Keyring;
use crate::message::{Body, Envelope};

/// Time for a whole exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// An exchange that brought nothing.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No end within [`EXCHANGE_TIMEOUT`].
    #[error("exchange timed out")]
    Timeout,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame was invalid.
    #[error("frame of the exchange: {0}")]
    Codec(#[from] CodecError),
    /// The other side closed without a message that this version knows.
    #[error("exchange ended without a message")]
    Ended,
}

/// Sends a request and waits for its reply.
///
/// # Errors
///
/// [`ExchangeError`] if no valid reply came in time.
pub async fn request(to: SocketAddr, keys: Keyring, body: Body) -> Result<Body, ExchangeError> {
    let exchange = async {
        let stream = TcpStream::connect(to).await?;
        let mut framed = Framed::new(stream, StreamCodec::new(keys));
        framed.send(Envelope::from(body)).await?;
        receive(&mut framed).await
    };
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| ExchangeError::Timeout)?
}

/// Reads one request from a connection and sends the reply that `answer` gives, none to refuse.
///
/// # Errors
///
/// [`ExchangeError`] if no valid request came in time, or the reply could not be sent in time.
pub async fn serve<F>(
    stream: TcpStream,
    keys: Keyring,
    answer: impl FnOnce(Body) -> F,
) -> Result<(), ExchangeError>
where
    F: Future<Output = Option<Body>>,
{
    let exchange = async {
        let mut framed = Framed::new(stream, StreamCodec::new(keys));
        let body = receive(&mut framed).await?;
        let reply = answer(body).await.ok_or(ExchangeError::Ended)?;
        framed.send(Envelope::from(reply)).await?;
        Ok(())
    };
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| ExchangeError::Timeout)?
}

async fn receive(framed: &mut Framed<TcpStream, StreamCodec>) -> Result<Body, ExchangeError> {
    let envelope = framed.next().await.ok_or(ExchangeError::Ended)??;
    envelope.body.ok_or(ExchangeError::Ended)
}

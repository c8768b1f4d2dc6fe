//! Exchange of one request and one reply over TCP, within a timeout.

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

/// Timeout of a whole exchange.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of an exchange.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The exchange did not finish within [`EXCHANGE_TIMEOUT`].
    #[error("exchange timed out")]
    Timeout,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame is invalid.
    #[error("frame of the exchange: {0}")]
    Codec(#[from] CodecError),
    /// The peer closed the connection without a message known to this version.
    #[error("exchange ended without a message")]
    Ended,
}

/// Sends a request and waits for its reply.
///
/// # Errors
///
/// [`ExchangeError`] if no valid reply arrived within the timeout.
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

/// Reads one request from a connection and sends the reply that `answer` returns. Closes the
/// connection without a reply if it returns none.
///
/// # Errors
///
/// [`ExchangeError`] if no valid request arrived or the reply could not be sent within the timeout.
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

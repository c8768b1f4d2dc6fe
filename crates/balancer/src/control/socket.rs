//! The control sockets: UDP and TCP on the same port.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// Maximum attempts to find a port that is free for both protocols.
const ATTEMPTS: u32 = 16;

/// Binds both sockets. With port zero, any port that is free for both protocols is used.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn bind(addr: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempt = 1;
    loop {
        match bind_once(addr).await {
            Err(_) if addr.port() == 0 && attempt < ATTEMPTS => attempt += 1,
            result => return result,
        }
    }
}

async fn bind_once(addr: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let listener = TcpListener::bind(addr).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((socket, listener))
}

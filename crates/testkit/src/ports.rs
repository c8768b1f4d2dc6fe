//! Ports for processes that are started next.
//!
//! A port that the system picks may be taken by any outgoing connection before its process binds
//! it. These lie below the range from which the system picks, and one process never gives out the
//! same twice in a row.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST: u32 = 10_000;
const COUNT: u32 = 20_000;

/// Distance between the first ports of two processes with neighbouring identities.
const STRIDE: u32 = 509;

static GIVEN: AtomicU32 = AtomicU32::new(0);

/// A loopback address that is free for UDP and TCP.
///
/// # Errors
///
/// If every port is taken.
pub fn free_addr() -> io::Result<SocketAddr> {
    for _ in 0..COUNT {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(given);
        let port = u16::try_from(FIRST + offset % COUNT).map_err(io::Error::other)?;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

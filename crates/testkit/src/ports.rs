//! Allocation of ports for processes that a test is about to start.
//!
//! An ephemeral port picked by the system could be taken by an outgoing connection before the
//! process binds it. These ports lie below the ephemeral range, and within one test process a port
//! is handed out again only after all the others.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

const FIRST: u32 = 10_000;
const COUNT: u32 = 20_000;

/// Offset between the first ports of two processes with consecutive process ids.
const STRIDE: u32 = 509;

static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free for both UDP and TCP.
///
/// # Errors
///
/// Returns an error if every port is taken.
pub fn free_addr() -> io::Result<SocketAddr> {
    for _ in 0..COUNT {
        let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id()
            .wrapping_mul(STRIDE)
            .wrapping_add(allocated);
        let port = u16::try_from(FIRST + offset % COUNT).map_err(io::Error::other)?;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

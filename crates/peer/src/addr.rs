//! Encoding of socket addresses in messages: the IP address, then the port, both in network byte
//! order.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use thiserror::Error;

const V4_LEN: usize = 4 + 2;
const V6_LEN: usize = 16 + 2;

/// Error in the address of a message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AddrError {
    /// The length of the byte string is not that of a socket address.
    #[error("{0} bytes are not a socket address, expected 6 or 18")]
    Length(usize),
    /// No process can have the address.
    #[error("{0} is not the address of a process")]
    Unusable(SocketAddr),
}

/// Encodes an address.
#[must_use]
pub fn addr_to_bytes(addr: SocketAddr) -> Vec<u8> {
    let mut buf = Vec::with_capacity(V6_LEN);
    match addr.ip() {
        IpAddr::V4(ip) => buf.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => buf.extend_from_slice(&ip.octets()),
    }
    buf.extend_from_slice(&addr.port().to_be_bytes());
    buf
}

/// Decodes an address.
///
/// # Errors
///
/// [`AddrError::Length`] if it is that of neither an IPv4 nor an IPv6 address with a port.
pub fn addr_from_bytes(bytes: &[u8]) -> Result<SocketAddr, AddrError> {
    let error = AddrError::Length(bytes.len());
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(error)?;
    let ip = match bytes.len() {
        V4_LEN => {
            let octets: [u8; 4] = ip.try_into().map_err(|_| error)?;
            IpAddr::from(Ipv4Addr::from(octets))
        }
        V6_LEN => {
            let octets: [u8; 16] = ip.try_into().map_err(|_| error)?;
            IpAddr::from(Ipv6Addr::from(octets))
        }
        _ => return Err(error),
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

/// Decodes the address at which a process receives messages.
///
/// # Errors
///
/// [`AddrError`] if it is not an address, or one to which nothing can be sent.
pub fn process_addr_from_bytes(bytes: &[u8]) -> Result<SocketAddr, AddrError> {
    let addr = addr_from_bytes(bytes)?;
    if addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast() {
        return Err(AddrError::Unusable(addr));
    }
    Ok(addr)
}

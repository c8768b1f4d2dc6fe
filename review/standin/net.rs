//! Loopback addresses and free ports.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

/// Loopback addresses of one case: `127.NET.x.y`, where NET differs between cases that run at the
/// same time.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
}

impl Net {
    pub fn new() -> Self {
        let second = 20 + u8::try_from(std::process::id() % 200).unwrap_or(0);
        Self { second }
    }

    pub fn ip(self, third: u8, fourth: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, third, fourth)
    }
}

/// A port that is free for TCP and UDP on all of `ips`.
pub fn free_port(ips: &[Ipv4Addr], taken: &[u16]) -> Result<u16, String> {
    for _ in 0..200 {
        let probe = UdpSocket::bind(("127.0.0.1", 0)).map_err(|err| err.to_string())?;
        let port = probe.local_addr().map_err(|err| err.to_string())?.port();
        let is_free = |ip: &Ipv4Addr| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if !taken.contains(&port) && ips.iter().all(is_free) {
            return Ok(port);
        }
    }
    Err(String::from("no free port"))
}

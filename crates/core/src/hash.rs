//! Hash functions with the same result in every process.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of bytes. Different uses have different seeds.
#[must_use]
pub fn bytes(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Hash of two 64-bit words, for ranking and for buckets.
#[must_use]
pub const fn pair(a: u64, b: u64) -> u64 {
    // The finalizer of splitmix64, applied to both words in turn.
    mix(mix(a ^ 0x9e37_79b9_7f4a_7c15).wrapping_add(b))
}

const fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of an IP address and a port.
#[must_use]
pub fn socket_addr(addr: SocketAddr, seed: u64) -> u64 {
    let port = u64::from(addr.port());
    match addr.ip() {
        IpAddr::V4(ip) => pair(u64::from(ip.to_bits()), port ^ seed),
        IpAddr::V6(ip) => {
            let bits = ip.to_bits().to_be_bytes();
            pair(bytes(&bits, seed), port)
        }
    }
}

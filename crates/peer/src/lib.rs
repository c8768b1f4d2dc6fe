//! Messages between the processes of the load balancer.
//!
//! One envelope carries every message, over UDP for packets and heartbeats and over TCP where a
//! message may be large. Each frame ends in a keyed tag, so that nobody without a key can make a
//! process act; two keys are valid at once, so that keys change without an interruption. What a
//! frame says is never trusted beyond that: a decoded message is checked field by field when it
//! becomes a domain type, and a frame that fails is counted and dropped.

mod addr;
mod codec;
pub mod datagram;
pub mod exchange;
mod key;
mod members;
pub mod message;
pub mod pass_through;

pub use addr::{AddrError, addr_from_bytes, addr_to_bytes};
pub use codec::{Codec, CodecError, MAX_DATAGRAM, MAX_STREAM_FRAME, StreamCodec};
pub use key::{Key, KeyError, Keyring};
pub use members::{
    RecordError, balancer_from_message, balancer_to_message, record_from_message,
    target_from_message, target_to_message, verdict_from_message, verdict_to_message,
};
pub use message::{Body, Envelope};

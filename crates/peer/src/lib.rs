//! Messages between the processes of the load balancer.
//!
//! Every message is sent in an [`Envelope`], over UDP for packets and heartbeats and over TCP for
//! messages that may be large. Each frame ends in a keyed authentication tag, so that a process
//! acts only on frames of a sender that holds a key. Two keys may be valid at once, so that keys
//! can be rotated without an interruption. The tag does not make the contents valid: each field of
//! a decoded message is checked when the message is converted to a domain type, and a frame that
//! fails is counted and dropped.

mod addr;
mod codec;
pub mod datagram;
pub mod exchange;
mod key;
mod members;
pub mod message;
pub mod pass_through;

pub use addr::{AddrError, addr_from_bytes, addr_to_bytes, process_addr_from_bytes};
pub use codec::{Codec, CodecError, MAX_DATAGRAM, MAX_STREAM_FRAME, StreamCodec};
pub use key::{Key, KeyError, Keyring};
pub use members::{
    RecordError, balancer_from_message, balancer_to_message, record_from_message,
    target_from_message, target_to_message, verdict_from_message, verdict_to_message,
};
pub use message::{Body, Envelope};

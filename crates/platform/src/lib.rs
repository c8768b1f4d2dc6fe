//! Client of the platform's object service.
//!
//! The service stores objects by kind and name. Each holds one JSON value of up to
//! [`protocol::MAX_VALUE_BYTES`] and has a version. The protocol is HTTP/1.1 with JSON bodies:
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/objects/{kind}/{name}` | 200 with [`Object`], or 404 |
//! | `GET /v1/objects/{kind}?prefix=…` | 200 with [`Listing`], a consistent snapshot |
//! | `PUT /v1/objects/{kind}/{name}`, `If-Match: {version}`, body: the value | 200 with [`Written`], or 412 with [`protocol::Mismatch`] |
//! | `DELETE /v1/objects/{kind}/{name}`, `If-Match: {version}` | 200 with [`Written`], or 412 with [`protocol::Mismatch`] |
//! | `GET /v1/watch/{kind}?after={version}&wait_ms={ms}` | 200 with [`Changes`], or 410 |
//!
//! One counter numbers all changes of the service. The version of an object is the number of the
//! change that wrote it, so an object that is deleted and created again never repeats a version;
//! the version of a listing is the number of the latest change to any object of the kind.
//! `If-Match: 0` requires that the object does not exist yet. A watch is a long poll: it answers as
//! soon as there is a change after the given version, with an empty list after its waiting time,
//! and with 410 if the service no longer keeps its history back to that version, after which the
//! caller lists again. Every request counts as one call, including a watch.
//!
//! A 429 or a 503 means that the call was not run. Any other failure to get an answer to a write
//! leaves open whether it took effect and is reported as [`PlatformError::Lost`]: the caller reads
//! the object back and identifies its own write by the writer and sequence in the value. The client
//! therefore retries reads by itself, and writes only if they were not run.

mod calls;
pub mod client;
pub mod counters;
pub mod drafts;
pub mod elements;
pub mod era;
pub mod error;
pub mod protocol;
pub mod published;
pub mod registration;
pub mod retry;
pub mod watch_schedule;

pub use citronhollow_core::publisher::{Listing, Object};
pub use client::{Client, ClientConfig};
pub use counters::{CallCounters, CallKind};
pub use era::Era;
pub use error::PlatformError;
pub use protocol::{Change, Changes, Written};
pub use registration::Registration;

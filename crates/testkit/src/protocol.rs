//! The line protocol between callers and target stand-ins.
//!
//! A request is `DO nonce bytes`, its answer `OK nonce target service` and then as many bytes of
//! filling as were asked for, all in one line. A nonce is unique over a run, so that an answer is
//! known to belong to its request and a request that ran twice is known to have done so.

use std::fmt;

/// A request of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Unique over the run.
    pub nonce: u64,
    /// Bytes of filling that the answer carries.
    pub bytes: usize,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "DO {} {}", self.nonce, self.bytes)
    }
}

impl Request {
    /// Reads a line without its end.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let rest = line.strip_prefix("DO ")?;
        let (nonce, bytes) = rest.split_once(' ')?;
        Some(Self {
            nonce: nonce.parse().ok()?,
            bytes: bytes.parse().ok()?,
        })
    }
}

/// An answer of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Nonce of the request.
    pub nonce: u64,
    /// Name of the target.
    pub target: String,
    /// Name of the service that the target stands for.
    pub service: String,
    /// Bytes of filling.
    pub bytes: usize,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            nonce,
            target,
            service,
            bytes,
        } = self;
        writeln!(f, "OK {nonce} {target} {service} {:.<bytes$}", "")
    }
}

impl Answer {
    /// Reads a line without its end.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.strip_prefix("OK ")?.splitn(4, ' ');
        Some(Self {
            nonce: words.next()?.parse().ok()?,
            target: words.next()?.to_owned(),
            service: words.next()?.to_owned(),
            bytes: words.next()?.len(),
        })
    }
}

//! Line protocol between callers and target stand-ins.
//!
//! A request is the line `DO nonce bytes`. Its answer is the line `OK nonce target service padding`
//! with the requested number of padding bytes. A nonce is unique within a run, so that an answer
//! can be matched to its request and a request that ran twice is detected.

use std::fmt;

/// A request from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Number that is unique within the run.
    pub nonce: u64,
    /// Number of padding bytes in the answer.
    pub bytes: usize,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "DO {} {}", self.nonce, self.bytes)
    }
}

impl Request {
    /// Parses a line without its line end.
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

/// An answer from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Nonce of the request.
    pub nonce: u64,
    /// Name of the target.
    pub target: String,
    /// Name of the service that the target serves.
    pub service: String,
    /// Number of padding bytes.
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
    /// Parses a line without its line end.
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

//! Bodies whose elements are parsed one by one.
//!
//! Objects of the service may have other writers. One whose value cannot be parsed, because it is
//! nested too deeply or has a number that is too large, must not make the others unreadable. So a
//! list is first split into its elements, which needs no valid values.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// JSON value that is not parsed yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Element(Box<RawValue>);

impl Element {
    /// Parses the element. Fields that `T` does not have are skipped without being parsed.
    ///
    /// # Errors
    ///
    /// The reason for which the element is not a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.0.get())
    }
}

/// Parses a body. Bytes that are not UTF-8 are replaced, so that only the strings that contain them
/// are affected.
///
/// # Errors
///
/// The reason for which the body is not a `T`.
pub fn parse_body<T: DeserializeOwned>(body: &[u8]) -> serde_json::Result<T> {
    let text: Cow<str> = String::from_utf8_lossy(body);
    serde_json::from_str(&text)
}

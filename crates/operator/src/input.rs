//! Input named on the command line: a file, or `-` for standard input.

use std::io::{self, Read};

use citronhollow_core::error::ErrorKind;
use thiserror::Error;

use crate::failure::Failure;

/// Path that denotes standard input.
pub const STANDARD_INPUT: &str = "-";

/// Error of reading a file.
#[derive(Debug, Error)]
#[error("{path}: cannot be read: {source}; name a readable file, or - for standard input")]
pub struct InputError {
    path: String,
    source: io::Error,
}

/// Reads a whole file, or standard input if the path is `-`.
///
/// # Errors
///
/// [`InputError`] if it cannot be read or is not UTF-8.
pub fn read(path: &str) -> Result<String, InputError> {
    let text = if path == STANDARD_INPUT {
        read_standard_input()
    } else {
        std::fs::read_to_string(path)
    };
    text.map_err(|source| InputError {
        path: String::from(path),
        source,
    })
}

fn read_standard_input() -> io::Result<String> {
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

impl From<InputError> for Failure {
    fn from(error: InputError) -> Self {
        let kind = if error.source.kind() == io::ErrorKind::NotFound {
            ErrorKind::NotFound
        } else {
            ErrorKind::Invalid
        };
        Self::new(kind, error.to_string())
    }
}

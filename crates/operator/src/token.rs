//! Bearer token of operators.

use std::fmt;

const SCHEME: &str = "Bearer ";

/// Bearer token. It is never printed or logged.
#[derive(Clone)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

impl From<String> for Token {
    fn from(token: String) -> Self {
        Self(token)
    }
}

impl Token {
    /// Value of the Authorization header with the token.
    #[must_use]
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Whether the value of an Authorization header has the token.
    #[must_use]
    pub fn matches(&self, header: &[u8]) -> bool {
        header
            .strip_prefix(SCHEME.as_bytes())
            .is_some_and(|given| is_equal_in_constant_time(given, self.0.as_bytes()))
    }
}

/// Compares in a time that depends only on the lengths, so that it reveals nothing about the bytes.
fn is_equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    a.iter().zip(b).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}

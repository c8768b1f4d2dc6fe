//! The bearer token of operators.

use std::fmt;

const SCHEME: &str = "Bearer ";

/// A token. It is neither printed nor logged.
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
    /// Value of the Authorization header that presents the token.
    #[must_use]
    pub fn header(&self) -> String {
        format!("{SCHEME}{}", self.0)
    }

    /// Whether an Authorization header presents the token.
    #[must_use]
    pub fn matches(&self, header: &[u8]) -> bool {
        header
            .strip_prefix(SCHEME.as_bytes())
            .is_some_and(|given| is_equal_in_constant_time(given, self.0.as_bytes()))
    }
}

/// The time depends on the lengths alone, so that it tells nothing of the right bytes.
fn is_equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    a.iter().zip(b).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}

//! Problem in a file or document, with its remedy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Problem with one field.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Object that the field belongs to, empty if the enclosing error names it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub object: String,
    /// Path of the field within the object, empty for the whole object.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// Remedy.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem with a field of the object that the enclosing error names.
    #[must_use]
    pub fn new(
        field: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            object: String::new(),
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in [&self.object, &self.field] {
            if !part.is_empty() {
                write!(f, "{part}: ")?;
            }
        }
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

/// Formats problems as lines that are indented by two spaces.
#[must_use]
pub fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}

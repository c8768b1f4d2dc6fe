//! One thing that is wrong with a file or a document, and how to mend it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem with one field.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// The object that the field belongs to, empty where the surrounding error names it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub object: String,
    /// Path of the field within the object, empty for the whole object.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Problem {
    /// A problem with a field of the object that the surrounding error names.
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
        for place in [&self.object, &self.field] {
            if !place.is_empty() {
                write!(f, "{place}: ")?;
            }
        }
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

/// The problems as lines that start with two spaces.
#[must_use]
pub fn lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}

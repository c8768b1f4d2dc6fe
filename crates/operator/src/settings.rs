//! Loading of settings files, with all their problems reported at once.
//!
//! Serde stops at the first error, but an operator who sets up many VMs needs the complete list. A
//! file that does not parse is therefore checked field by field: each given field is parsed alone
//! within a valid example, which finds unknown, missing and malformed fields without a separate
//! list of field names. The range check then runs on the well-formed fields. The example is the
//! file that ships with the program, and serialization writes every field, so that the field names
//! always match the code.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

use citronhollow_core::error::ErrorKind;

use crate::failure::Failure;
use crate::input::{self, InputError};
use crate::problem::{self, Problem};

mod checked;
mod range;
mod seconds;

pub use checked::Checked;
pub use range::{
    check_destination, check_destinations, check_distinct, check_duration, check_keys, check_level,
    check_listen, check_loopback, check_name, check_optional_destination, check_range, check_token,
};
pub use seconds::{Seconds, SecondsError};

/// Properties of a settings file besides its type.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Text of a valid file.
    pub example: &'static str,
    /// Fields whose values must not appear in errors.
    pub secrets: &'static [&'static str],
}

/// Error of loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The file is not a JSON object.
    #[error("{path}: {problem}; write one JSON object")]
    Syntax {
        /// Path of the file.
        path: String,
        /// Error of the parser.
        problem: String,
    },
    /// Fields are invalid.
    #[error("{path}: {} wrong\n{}", count(.problems), problem::lines(.problems))]
    Fields {
        /// Path of the file.
        path: String,
        /// All problems.
        problems: Vec<Problem>,
    },
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Self {
        match error {
            SettingsError::Input(error) => error.into(),
            SettingsError::Syntax { .. } => Self::new(ErrorKind::Invalid, error.to_string()),
            SettingsError::Fields { path, problems } => Self {
                kind: ErrorKind::Invalid,
                message: format!("{path}: {} wrong", count(&problems)),
                problems,
            },
        }
    }
}

/// Reads and checks the file at `path`, or standard input if it is `-`.
///
/// # Errors
///
/// [`SettingsError`] with all problems.
pub fn load<S: Serialize + DeserializeOwned, C>(
    path: &str,
    shape: Shape,
    check: impl Fn(S) -> Result<C, Vec<Problem>>,
) -> Result<C, SettingsError> {
    let text = input::read(path)?;
    parse(path, &text, shape, check)
}

/// Parses and checks the text of a settings file. `path` is used only in errors.
///
/// # Errors
///
/// [`SettingsError`] with all problems.
pub fn parse<S: Serialize + DeserializeOwned, C>(
    path: &str,
    text: &str,
    shape: Shape,
    check: impl Fn(S) -> Result<C, Vec<Problem>>,
) -> Result<C, SettingsError> {
    let path = String::from(path);
    let error = match serde_json::from_str::<S>(text) {
        Ok(settings) => {
            return check(settings).map_err(|problems| SettingsError::Fields { path, problems });
        }
        Err(error) => error,
    };
    let fields = serde_json::from_str::<Map<String, Value>>(text);
    let problems = fields.map(|given| Diagnosis::of(&given, shape, check));
    match problems {
        Ok(problems) if !problems.is_empty() => Err(SettingsError::Fields { path, problems }),
        // The text is not an object, or has a duplicate field, which the map does not show.
        _ => Err(SettingsError::Syntax {
            path,
            problem: error.to_string(),
        }),
    }
}

/// Check of a file field by field.
struct Diagnosis {
    problems: Vec<Problem>,
    /// Example in which the well-formed fields are replaced by those of the file.
    patched: Map<String, Value>,
}

impl Diagnosis {
    fn of<S: Serialize + DeserializeOwned, C>(
        given: &Map<String, Value>,
        shape: Shape,
        check: impl Fn(S) -> Result<C, Vec<Problem>>,
    ) -> Vec<Problem> {
        let example = all_fields::<S>(shape.example);
        let mut diagnosis = Self {
            problems: unknown_fields(given, &example),
            patched: example.clone(),
        };
        for name in example.keys() {
            diagnosis.try_field::<S>(name, given.get(name), &example, shape);
        }
        diagnosis.check_ranges(check);
        diagnosis.problems
    }

    fn try_field<S: DeserializeOwned>(
        &mut self,
        name: &str,
        value: Option<&Value>,
        example: &Map<String, Value>,
        shape: Shape,
    ) {
        let mut alone = example.clone();
        replace(&mut alone, name, value);
        match serde_json::from_value::<S>(Value::Object(alone)) {
            Ok(_) => replace(&mut self.patched, name, value),
            Err(_) if value.is_none() => self.problems.push(missing(name, &example[name], shape)),
            Err(error) => self.problems.push(malformed(name, &error, shape)),
        }
    }

    fn check_ranges<S: DeserializeOwned, C>(
        &mut self,
        check: impl Fn(S) -> Result<C, Vec<Problem>>,
    ) {
        let patched = Value::Object(std::mem::take(&mut self.patched));
        if let Ok(Err(problems)) = serde_json::from_value::<S>(patched).map(check) {
            self.problems.extend(problems);
        }
    }
}

/// Parses the example and serializes it again, so that it has every field of the type.
fn all_fields<S: Serialize + DeserializeOwned>(example: &str) -> Map<String, Value> {
    let settings: Option<S> = serde_json::from_str(example).ok();
    match settings.map(serde_json::to_value) {
        Some(Ok(Value::Object(fields))) => fields,
        _ => Map::new(),
    }
}

fn unknown_fields(given: &Map<String, Value>, known: &Map<String, Value>) -> Vec<Problem> {
    let names: Vec<&str> = known.keys().map(String::as_str).collect();
    let remedy = format!("remove it; known fields are {}", names.join(", "));
    given
        .keys()
        .filter(|name| !known.contains_key(*name))
        .map(|name| Problem::new(name, "unknown field", &remedy))
        .collect()
}

fn replace(fields: &mut Map<String, Value>, name: &str, value: Option<&Value>) {
    match value {
        Some(value) => fields.insert(String::from(name), value.clone()),
        None => fields.remove(name),
    };
}

fn missing(name: &str, example: &Value, shape: Shape) -> Problem {
    if shape.secrets.contains(&name) {
        return Problem::new(name, "missing", "add it, as in the example file");
    }
    Problem::new(name, "missing", format!("add it, for example {example}"))
}

fn malformed(name: &str, error: &serde_json::Error, shape: Shape) -> Problem {
    let remedy = "write it as in the example file";
    if shape.secrets.contains(&name) {
        return Problem::new(name, "malformed", remedy);
    }
    Problem::new(name, error.to_string(), remedy)
}

fn count(problems: &[Problem]) -> String {
    match problems.len() {
        1 => String::from("1 field is"),
        many => format!("{many} fields are"),
    }
}

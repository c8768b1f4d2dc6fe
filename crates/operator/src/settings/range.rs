//! Checks of single values, shared by the settings files.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use citronhollow_peer::{Key, KeyError, Keyring};
use log::LevelFilter;

use super::seconds::Seconds;
use crate::problem::Problem;

/// Longest name, in bytes.
const NAME_MAX: usize = 63;

/// Length of an identity in hexadecimal digits. A name of this form would be taken for an identity.
const ID_DIGITS: usize = 16;

/// Shortest token, in bytes.
const TOKEN_MIN: usize = 16;

/// Longest token, in bytes.
const TOKEN_MAX: usize = 256;

/// Checks a name: letters, digits, dots, dashes and underscores.
#[must_use]
pub fn check_name(field: &str, name: &str) -> Option<Problem> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let is_sized = (1..=NAME_MAX).contains(&name.len());
    let is_id = name.len() == ID_DIGITS && name.chars().all(|c| c.is_ascii_hexdigit());
    if is_sized && !is_id && name.chars().all(is_plain) {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{name:?} is not a valid name"),
        format!(
            "use 1 to {NAME_MAX} letters, digits, dots, dashes and underscores, \
             and not just {ID_DIGITS} hexadecimal digits"
        ),
    ))
}

/// Checks that a number is within bounds.
#[must_use]
pub fn check_range(field: &str, value: u64, bounds: RangeInclusive<u64>) -> Option<Problem> {
    if bounds.contains(&value) {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{value} is out of range"),
        format!("use {} to {}", bounds.start(), bounds.end()),
    ))
}

/// Checks that a duration is within bounds in ms.
#[must_use]
pub fn check_duration(field: &str, value: Seconds, bounds: RangeInclusive<u64>) -> Option<Problem> {
    if bounds.contains(&value.millis().0) {
        return None;
    }
    let limit = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    Some(Problem::new(
        field,
        format!("{} s is out of range", f64::from(value)),
        format!("use {} to {}", limit(*bounds.start()), limit(*bounds.end())),
    ))
}

/// Checks an address to listen on. It is advertised to other processes, so it must be a single
/// address and not the unspecified one.
#[must_use]
pub fn check_listen(field: &str, addr: SocketAddr) -> Option<Problem> {
    if !addr.ip().is_unspecified() {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{addr} denotes every address of the VM"),
        "give the one IP address at which others reach the VM",
    ))
}

/// Checks that an address is a loopback address.
#[must_use]
pub fn check_loopback(field: &str, addr: SocketAddr) -> Option<Problem> {
    if addr.ip().is_loopback() {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{addr} can be reached from other VMs"),
        "use a loopback address such as 127.0.0.1",
    ))
}

/// Checks an address to send to.
#[must_use]
pub fn check_destination(field: &str, addr: SocketAddr) -> Option<Problem> {
    if !addr.ip().is_unspecified() && addr.port() != 0 {
        return None;
    }
    Some(Problem::new(
        field,
        format!("nothing can be sent to {addr}"),
        "give an IP address and a port that are not zero",
    ))
}

/// Checks an optional address to send to.
#[must_use]
pub fn check_optional_destination(field: &str, addr: Option<SocketAddr>) -> Option<Problem> {
    addr.and_then(|addr| check_destination(field, addr))
}

/// Checks addresses to send to, of which there must be at least `least`.
#[must_use]
pub fn check_destinations(field: &str, addrs: &[SocketAddr], least: usize) -> Vec<Problem> {
    let mut problems: Vec<Problem> = addrs
        .iter()
        .enumerate()
        .filter_map(|(i, addr)| check_destination(&format!("{field}[{i}]"), *addr))
        .collect();
    if addrs.len() < least {
        problems.push(Problem::new(
            field,
            format!("{} addresses are given", addrs.len()),
            format!("give at least {least}"),
        ));
    }
    problems
}

/// Checks that two addresses to listen on differ. Port zero never conflicts, because the system
/// then chooses a free port.
#[must_use]
pub fn check_distinct(
    field: &str,
    addr: SocketAddr,
    other_field: &str,
    other: SocketAddr,
) -> Option<Problem> {
    if addr != other || addr.port() == 0 {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{addr} is also the address of {other_field}"),
        "give each its own port",
    ))
}

/// Parses a log level.
///
/// # Errors
///
/// Problem, if there is no such level.
pub fn check_level(field: &str, level: &str) -> Result<LevelFilter, Problem> {
    level.parse().map_err(|_| {
        Problem::new(
            field,
            format!("{level:?} is not a log level"),
            "use error, warn, info, debug, trace or off",
        )
    })
}

/// Checks a bearer token. The problem does not contain its value.
#[must_use]
pub fn check_token(field: &str, token: &str) -> Option<Problem> {
    let is_sized = (TOKEN_MIN..=TOKEN_MAX).contains(&token.len());
    if is_sized && token.chars().all(|c| c.is_ascii_graphic()) {
        return None;
    }
    Some(Problem::new(
        field,
        "not usable as a token",
        format!("use {TOKEN_MIN} to {TOKEN_MAX} printable ASCII characters without spaces"),
    ))
}

/// Checks the keys that sign and verify frames.
///
/// # Errors
///
/// All problems: one for each malformed key, and one for the set. They contain no secret.
pub fn check_keys(field: &str, keys: &[Key]) -> Result<Keyring, Vec<Problem>> {
    Keyring::new(keys).map_err(|error| {
        let of_keys = keys.iter().enumerate().filter_map(|(i, key)| {
            let error = Keyring::new(std::slice::from_ref(key)).err()?;
            Some(key_problem(format!("{field}[{i}]"), &error))
        });
        let is_of_set = !matches!(error, KeyError::Secret { .. });
        let of_set = is_of_set.then(|| key_problem(String::from(field), &error));
        of_keys.chain(of_set).collect()
    })
}

fn key_problem(field: String, error: &KeyError) -> Problem {
    let remedy = "give one or two keys of 64 hexadecimal digits, each with its own identity";
    Problem::new(field, error.to_string(), remedy)
}

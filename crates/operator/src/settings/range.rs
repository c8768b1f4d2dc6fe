//! Checks of single values that several settings files share.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use citronhollow_peer::{Key, KeyError, Keyring};
use log::LevelFilter;

use super::seconds::Seconds;
use crate::problem::Problem;

/// Longest name, in bytes.
const NAME_MAX: usize = 63;

/// Length of an identity as text, in digits. A name of that form would be read as an identity.
const ID_DIGITS: usize = 16;

/// Shortest token, in bytes.
const TOKEN_MIN: usize = 16;

/// Longest token, in bytes.
const TOKEN_MAX: usize = 256;

/// A name: letters, digits, dots, dashes and underscores.
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
        format!("{name:?} is no name"),
        format!(
            "use 1 to {NAME_MAX} letters, digits, dots, dashes and underscores, \
             and not just {ID_DIGITS} hexadecimal digits"
        ),
    ))
}

/// A number within bounds.
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

/// A span within bounds in ms.
#[must_use]
pub fn check_duration(field: &str, span: Seconds, bounds: RangeInclusive<u64>) -> Option<Problem> {
    if bounds.contains(&span.millis().0) {
        return None;
    }
    let limit = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    Some(Problem::new(
        field,
        format!("{} s is out of range", f64::from(span)),
        format!("use {} to {}", limit(*bounds.start()), limit(*bounds.end())),
    ))
}

/// An address to listen on that others are told of, so it must be one address and not all.
#[must_use]
pub fn check_listen(field: &str, addr: SocketAddr) -> Option<Problem> {
    if !addr.ip().is_unspecified() {
        return None;
    }
    Some(Problem::new(
        field,
        format!("{addr} stands for every address of the VM"),
        "give the one IP number at which others reach the VM",
    ))
}

/// An address of the VM itself.
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

/// An address to send to.
#[must_use]
pub fn check_destination(field: &str, addr: SocketAddr) -> Option<Problem> {
    if !addr.ip().is_unspecified() && addr.port() != 0 {
        return None;
    }
    Some(Problem::new(
        field,
        format!("nothing can be sent to {addr}"),
        "give an IP number and a port that are not zero",
    ))
}

/// An address to send to, if there is one.
#[must_use]
pub fn check_optional_destination(field: &str, addr: Option<SocketAddr>) -> Option<Problem> {
    addr.and_then(|addr| check_destination(field, addr))
}

/// Addresses to send to, `least` or more.
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

/// Two addresses to listen on that must differ. A port of zero never clashes.
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
        format!("{addr} is the address of {other_field} as well"),
        "give each its own port",
    ))
}

/// A level of the log.
///
/// # Errors
///
/// The problem, if there is no such level.
pub fn check_level(field: &str, level: &str) -> Result<LevelFilter, Problem> {
    level.parse().map_err(|_| {
        Problem::new(
            field,
            format!("{level:?} is no level"),
            "use error, warn, info, debug, trace or off",
        )
    })
}

/// A bearer token. The value is not repeated in the problem.
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

/// The keys that frames are signed with.
///
/// # Errors
///
/// Every problem, one for each malformed key and one for the set. No secret is repeated.
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

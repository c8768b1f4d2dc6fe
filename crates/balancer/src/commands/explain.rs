//! `citronhollow explain`: the decisions of all processes about one caller's flow, in order.
//!
//! The input is the standard output of any number of processes, concatenated or interleaved. Text
//! in front of a line's JSON, such as a log collector's time and host, is skipped, as is every line
//! without a decision.

use std::fmt::Write;
use std::net::SocketAddr;

use citronhollow_core::error::ErrorKind;
use citronhollow_operator::cli;
use citronhollow_operator::decisions::Line;
use citronhollow_operator::failure::Failure;
use citronhollow_operator::input;
use gumdrop::Options;

/// Joins the decision logs of several processes about one flow.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the caller's address and port")]
    caller: Option<SocketAddr>,
    #[options(
        help = "file with the logs, - for standard input",
        meta = "FILE",
        default = "-"
    )]
    logs: String,
    #[options(no_short, help = "print the lines as JSON")]
    json: bool,
}

/// The timeline as text or JSON.
pub fn run(options: &ExplainOptions) -> Result<String, Failure> {
    let Some(caller) = options.caller else {
        let message = "no caller is given; name its address and port, as in 100.64.0.7:40001";
        return Err(Failure::new(ErrorKind::Invalid, message));
    };
    let text = input::read(&options.logs)?;
    let lines = lines_of(&text, caller);
    if lines.is_empty() {
        let message = format!(
            "{}: no decision about {caller}; give the logs of all processes of that time",
            options.logs
        );
        return Err(Failure::new(ErrorKind::NotFound, message));
    }
    if options.json {
        return Ok(cli::to_json(&lines));
    }
    Ok(time_line(&lines))
}

/// Decisions about the caller's flow, oldest first.
fn lines_of(text: &str, caller: SocketAddr) -> Vec<Line> {
    let mut lines: Vec<Line> = text
        .lines()
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .filter(|line: &Line| line.caller == Some(caller))
        .collect();
    lines.sort_by_key(|line| line.at_ms);
    lines
}

fn time_line(lines: &[Line]) -> String {
    let start = lines.first().map_or(0, |line| line.at_ms);
    let mut out = String::new();
    for line in lines {
        let after = line.at_ms - start;
        // Writing to a string cannot fail.
        let _ = write!(out, "{after:>7} ms  {:<22} {}", line.process, line.event);
        if let Some(peer) = line.peer {
            let _ = write!(out, " with {peer}");
        }
        if let Some(reason) = &line.reason {
            let _ = write!(out, ": {reason}");
        }
        if let Some(revision) = line.revision.filter(|revision| *revision > 0) {
            let _ = write!(out, " (revision {revision})");
        }
        out.push('\n');
    }
    out
}

//! Stand-ins and cases of the review. Standard library only.
//!
//! `standin CASE DIR` plays one case with the programs in `target/release` and writes
//! `DIR/record.txt`. Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.

mod cases;
mod fleet;
mod http;
mod net;
mod packet;
mod record;
mod router;
mod server;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE DIR");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&PathBuf::from(dir).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("record.txt: {err}");
            exit(2);
        }
    };
    record.note(&format!("case {case}, disruption: {has_trouble}"));
    let outcome = cases::run(&case, has_trouble, &record);
    let code = match outcome {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(err) => {
            record.note(&format!("the case could not run: {err}"));
            2
        }
    };
    let verdict = ["the rule held", "the rule was broken", "no result"][code];
    record.note(&format!("exit {code}: {verdict}"));
    println!("{case}: exit {code}, {verdict}");
    exit(i32::try_from(code).unwrap_or(2));
}

//! Stand-ins of the second review: store, routers, clients and servers around the real programs.
//!
//! Uses the standard library only. `harness CASE RECORD` plays one case, see `cases.rs`. Exit codes:
//! 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod client;
mod json;
mod machine;
mod packet;
mod server;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    std::process::exit(cases::run(case, record));
}

//! Decisions of an agent about flows.

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

mod admission;
mod draining;
mod ended;
mod fixture;
mod handshake;
mod load;
mod network;
mod properties;
mod runner;
mod search;
mod services;
mod steering;
mod traces;

//! Tests of an agent's flow decisions.

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

mod admission;
mod agent;
mod fixture;
mod load;
mod network;
mod properties;
mod runner;
mod traces;

//! Decisions of pass-through delivery.

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

mod abandoned;
mod agent;
mod balancer;
mod contacts;
mod fixture;
mod load;
mod properties;
mod rush;
mod simulation;
mod two_kinds;

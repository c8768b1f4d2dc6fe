//! Tests of the decisions of pass-through delivery.

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

mod abandoned;
mod agent;
mod balancer;
mod burst;
mod contacts;
mod ends;
mod fixture;
mod holders;
mod load;
mod mixed_priorities;
mod properties;
mod simulation;
mod starts;
mod steps;

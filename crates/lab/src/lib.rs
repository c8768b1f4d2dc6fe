//! Comparison of two versions of a policy.
//!
//! A single run of a busy system says little: one differs from the next by more than most changes are
//! worth. Two versions are therefore run in pairs, each pair on the same seed, and judged by the mean of
//! the differences with an interval around it. What the seeds have in common, a hard day above all, drops
//! out. The number of pairs is fixed before the first run: whoever looks after each pair and stops when he
//! likes what he sees finds gains that are not there.

pub mod pairs;
pub mod run;

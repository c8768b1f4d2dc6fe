//! Comparison of two versions of a policy.
//!
//! The results of a busy system vary more between runs than most changes affect them. Two versions
//! are therefore run in pairs, each pair on the same seed, and compared by the mean of the
//! differences and its confidence interval. Effects common to both runs of a pair, such as a heavy
//! load in that seed, cancel out. The number of pairs is fixed before the first run, because
//! stopping as soon as the result looks good produces false positives.

pub mod pairs;
pub mod run;

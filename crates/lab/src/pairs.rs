//! Paired differences and their confidence interval.

use serde::Serialize;

/// Minimum number of pairs for an interval.
pub const MIN_PAIRS: usize = 2;

/// Two-sided 95 % quantiles of Student's t distribution, from one degree of freedom.
const STUDENT_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

/// Two-sided 95 % quantile of the normal distribution, for more degrees of freedom.
const NORMAL_95: f64 = 1.960;

/// Values of both versions for one seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pair {
    /// The seed.
    pub seed: u64,
    /// Value without the change.
    pub before: f64,
    /// Value with the change.
    pub after: f64,
}

/// Outcome of a comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The interval is above zero.
    Higher,
    /// The interval is below zero.
    Lower,
    /// The interval contains zero.
    Undecided,
}

/// Mean of the differences with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of `after - before`.
    pub mean: f64,
    /// Lower bound of the interval.
    pub from: f64,
    /// Upper bound of the interval.
    pub to: f64,
    /// Outcome, derived from the interval.
    pub verdict: Verdict,
}

impl Pair {
    /// Returns `after - before`.
    #[must_use]
    pub fn difference(&self) -> f64 {
        self.after - self.before
    }
}

impl Summary {
    /// Summarizes the pairs, or returns `None` if there are fewer than [`MIN_PAIRS`].
    #[must_use]
    pub fn of(pairs: &[Pair]) -> Option<Self> {
        if pairs.len() < MIN_PAIRS {
            return None;
        }
        let count = f64::from(u32::try_from(pairs.len()).ok()?);
        let mean = pairs.iter().map(Pair::difference).sum::<f64>() / count;
        let squares = pairs.iter().map(|pair| (pair.difference() - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0);
        let student = STUDENT_95.get(pairs.len() - MIN_PAIRS).copied();
        let half = student.unwrap_or(NORMAL_95) * (variance / count).sqrt();
        let (from, to) = (mean - half, mean + half);
        let verdict = if from > 0.0 {
            Verdict::Higher
        } else if to < 0.0 {
            Verdict::Lower
        } else {
            Verdict::Undecided
        };
        Some(Self {
            pairs: pairs.len(),
            mean,
            from,
            to,
            verdict,
        })
    }
}

//! Paired differences and what they show.

use serde::Serialize;

/// Fewest pairs that give an interval.
pub const MIN_PAIRS: usize = 2;

/// Bounds of Student's t distribution that 95 % lie within, for one degree of freedom and more.
const STUDENT_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

/// The same for any more degrees of freedom.
const NORMAL_95: f64 = 1.960;

/// The two values of one seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pair {
    /// The seed.
    pub seed: u64,
    /// Value without the change.
    pub before: f64,
    /// Value with the change.
    pub after: f64,
}

/// What all pairs say together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The whole interval lies above zero.
    Higher,
    /// The whole interval lies below zero.
    Lower,
    /// Zero lies in the interval.
    Undecided,
}

/// Mean of the differences, with the interval that holds the true mean in 95 of 100 comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of after less before.
    pub mean: f64,
    /// Lower end of the interval.
    pub from: f64,
    /// Upper end of the interval.
    pub to: f64,
    /// What follows.
    pub verdict: Verdict,
}

impl Pair {
    /// After less before.
    #[must_use]
    pub fn difference(&self) -> f64 {
        self.after - self.before
    }
}

impl Summary {
    /// Sums the pairs up, none if there are fewer than [`MIN_PAIRS`].
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

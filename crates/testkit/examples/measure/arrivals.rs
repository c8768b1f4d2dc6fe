//! Generated arrivals of flows and their requests.

use derive_more::Display;
use rand::Rng;
use rand::rngs::SmallRng;

/// Mean duration of a request, in milliseconds.
const REQUEST_MEAN_MS: f64 = 200.0;

/// Pareto shape of the heavy-tailed durations. At this value the variance is infinite.
const TAIL_SHAPE: f64 = 1.5;

/// Longest duration, in milliseconds.
const TAIL_MAX_MS: f64 = 20_000.0;

/// Mean time between two requests of a session, in milliseconds.
const THINK_MEAN_MS: f64 = 1_800.0;

/// Mean number of requests of a session.
const SESSION_REQUESTS: f64 = 15.0;

/// Mean fraction of busy slots.
const UTILIZATION: f64 = 0.7;

/// Factor of the arrival rate during a burst.
const BURST_FACTOR: f64 = 2.0;

/// Duration of a burst and of the quiet period after it, in milliseconds.
const BURST_MS: f64 = 5_000.0;

/// Arrival pattern.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Workload {
    /// Poisson arrivals of flows with one request each.
    #[display("poisson")]
    Poisson,
    /// Alternating bursts and quiet periods, as on a match day, with heavy-tailed requests.
    #[display("bursts, tailed")]
    Bursts,
    /// Sessions with many short requests.
    #[display("sessions")]
    Sessions,
    /// Every ten seconds a third of all flows reconnect at the same time.
    #[display("mass reconnect")]
    Reconnect,
}

/// One arriving flow.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time, in milliseconds.
    pub at: f64,
    /// Start, relative to the arrival, and duration of each request, in milliseconds.
    pub requests: Vec<(f64, f64)>,
}

impl Workload {
    /// All arrival patterns.
    pub const ALL: [Self; 4] = [Self::Poisson, Self::Bursts, Self::Sessions, Self::Reconnect];

    /// Generates the flows of a run of `length` milliseconds, for `slots` slots in total.
    pub fn arrivals(self, slots: u32, length: f64, rng: &mut SmallRng) -> Vec<Arrival> {
        let requests_per_ms = f64::from(slots) * UTILIZATION / REQUEST_MEAN_MS;
        match self {
            Self::Poisson => poisson(requests_per_ms, length, rng, |_| 1.0, one_request),
            Self::Bursts => {
                let burst = |at: f64| {
                    if at % (2.0 * BURST_MS) < BURST_MS {
                        BURST_FACTOR
                    } else {
                        0.5
                    }
                };
                poisson(
                    requests_per_ms / 1.25,
                    length,
                    rng,
                    burst,
                    one_tailed_request,
                )
            }
            Self::Sessions => {
                let rate = requests_per_ms / SESSION_REQUESTS;
                poisson(rate, length, rng, |_| 1.0, session)
            }
            Self::Reconnect => {
                let mut arrivals =
                    poisson(requests_per_ms / 1.5, length, rng, |_| 1.0, one_request);
                synchronize(&mut arrivals);
                arrivals
            }
        }
    }
}

fn poisson(
    rate: f64,
    length: f64,
    rng: &mut SmallRng,
    factor: impl Fn(f64) -> f64,
    requests: impl Fn(&mut SmallRng) -> Vec<(f64, f64)>,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += exponential(rng, 1.0 / (rate * factor(at)));
        if at >= length {
            return arrivals;
        }
        let requests = requests(rng);
        arrivals.push(Arrival { at, requests });
    }
}

/// Moves the flows of the last third of every ten seconds to the end of that period.
fn synchronize(arrivals: &mut [Arrival]) {
    const PERIOD_MS: f64 = 10_000.0;
    for arrival in arrivals.iter_mut() {
        let phase = arrival.at % PERIOD_MS;
        if phase > PERIOD_MS * 2.0 / 3.0 {
            // Spread over a few milliseconds, as by the network.
            arrival.at += PERIOD_MS - phase + phase % 20.0;
        }
    }
}

fn one_request(rng: &mut SmallRng) -> Vec<(f64, f64)> {
    vec![(0.0, exponential(rng, REQUEST_MEAN_MS))]
}

fn one_tailed_request(rng: &mut SmallRng) -> Vec<(f64, f64)> {
    let least = REQUEST_MEAN_MS * (TAIL_SHAPE - 1.0) / TAIL_SHAPE;
    let uniform: f64 = 1.0 - rng.random::<f64>();
    let duration = least * uniform.powf(-1.0 / TAIL_SHAPE);
    vec![(0.0, duration.min(TAIL_MAX_MS))]
}

fn session(rng: &mut SmallRng) -> Vec<(f64, f64)> {
    let mut requests = Vec::new();
    let mut start = 0.0;
    loop {
        let duration = exponential(rng, REQUEST_MEAN_MS);
        requests.push((start, duration));
        start += duration + exponential(rng, THINK_MEAN_MS);
        if rng.random_bool(1.0 / SESSION_REQUESTS) {
            return requests;
        }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    let uniform: f64 = 1.0 - rng.random::<f64>();
    -uniform.ln() * mean
}

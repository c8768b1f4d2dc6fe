//! Faults and changes of one run, drawn from its seed.
//!
//! A plan is drawn before anything runs, so that a seed can be played again and its plan read. Faults
//! overlap and repeat; whatever a fault takes away it gives back before the plan ends.

use citronhollow_core::clock::Millis;
use derive_more::Display;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A process, by its number among its kind.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Node {
    /// A balancer.
    #[display("balancer-{_0}")]
    Balancer(usize),
    /// The agent beside the target of the same number.
    #[display("agent-{_0}")]
    Agent(usize),
}

/// What the way of a process to the store does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Carries everything.
    Open,
    /// Ends every connection.
    Refusing,
    /// Takes connections and bytes, and answers nothing.
    Silent,
    /// Carries each new connection after this time.
    Slow(Millis),
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ends the process at once.
    Kill(Node),
    /// Starts it, unless it runs.
    Start(Node),
    /// Asks it to end. It is started again once it has.
    Terminate(Node),
    /// Freezes it.
    Pause(Node),
    /// Lets it go on.
    Resume(Node),
    /// Tells it that its settings have changed.
    Reload(Node),
    /// Changes its way to the store.
    Link(Node, LinkMode),
    /// Changes the way of all processes to the store.
    Links(LinkMode),
    /// The store refuses every call, or no longer.
    StoreRefuses(bool),
    /// The store forgets its history.
    Compact,
    /// A copy of the store's data is taken.
    BackUp,
    /// The store comes back from the copy, and the operator writes again what is in force.
    Restore,
    /// The operator writes the next configuration.
    Configure,
    /// The target ends without a word.
    CrashTarget(usize),
    /// The target is started, unless it runs.
    StartTarget(usize),
    /// The target announces that it leaves, and ends when its time is over.
    DrainTarget(usize),
    /// One datagram in so many is lost, none if zero.
    Loss(u32),
}

/// Numbers of processes.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Balancers.
    pub balancers: usize,
    /// Targets, each with its agent.
    pub targets: usize,
}

/// A drawn plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Steps in their order, with the time of each.
    pub steps: Vec<(Millis, Action)>,
    /// When the last fault is over.
    pub length: Millis,
}

/// Mean time between two draws.
const GAP_MS: u64 = 700;

/// Longest trouble, so that each is over before the plan ends.
const LONGEST_MS: u64 = 4_500;

/// Pauses, some shorter and some longer than the silence that counts as a loss.
const PAUSE_MS: std::ops::Range<u64> = 100..3_500;

/// Time for which a killed process stays away.
const AWAY_MS: std::ops::Range<u64> = 100..3_500;

/// Troubles of the store.
const STORE_MS: std::ops::Range<u64> = 500..LONGEST_MS;

/// Age of the copy that the store comes back from.
const COPY_AGE_MS: std::ops::Range<u64> = 200..3_500;

/// Time for which the store is away before it comes back from a copy.
const RESTORE_MS: std::ops::Range<u64> = 50..1_000;

/// Quick steps of one kind in a row: restarts one after another, changes in quick succession.
const SERIES: std::ops::Range<u64> = 2..5;

/// Kinds of draws, each as likely as the others.
#[derive(Clone, Copy)]
enum Draw {
    KillBalancer,
    KillAgent,
    KillAll,
    Terminate,
    TerminateInTurn,
    Pause,
    Reload,
    Link,
    Links,
    StoreRefuses,
    Compact,
    Configure,
    ConfigureOften,
    CrashTarget,
    DrainTarget,
    Loss,
}

const DRAWS: [Draw; 16] = [
    Draw::KillBalancer,
    Draw::KillAgent,
    Draw::KillAll,
    Draw::Terminate,
    Draw::TerminateInTurn,
    Draw::Pause,
    Draw::Reload,
    Draw::Link,
    Draw::Links,
    Draw::StoreRefuses,
    Draw::Compact,
    Draw::Configure,
    Draw::ConfigureOften,
    Draw::CrashTarget,
    Draw::DrainTarget,
    Draw::Loss,
];

impl Plan {
    /// Draws a plan. Nothing new begins within the longest trouble's time before its end.
    #[must_use]
    pub fn draw(seed: u64, shape: Shape, length: Millis) -> Self {
        let mut draft = Draft {
            rng: SmallRng::seed_from_u64(seed),
            shape,
            steps: Vec::new(),
        };
        let last = length.0.saturating_sub(LONGEST_MS);
        let mut at = 0;
        loop {
            at += draft.rng.random_range(1..2 * GAP_MS);
            if at >= last {
                break;
            }
            draft.draw(Millis(at));
        }
        draft.draw_restore(seed, Millis(last));
        let mut steps = draft.steps;
        steps.sort_by_key(|(at, _)| *at);
        Self { steps, length }
    }
}

struct Draft {
    rng: SmallRng,
    shape: Shape,
    steps: Vec<(Millis, Action)>,
}

impl Draft {
    fn draw(&mut self, at: Millis) {
        let kind = *DRAWS.choose(&mut self.rng).unwrap_or(&Draw::Configure);
        match kind {
            Draw::KillBalancer => {
                let node = self.balancer();
                self.kill(at, node);
            }
            Draw::KillAgent => {
                let node = self.agent();
                self.kill(at, node);
            }
            Draw::KillAll => {
                let until = self.after(at, AWAY_MS);
                for node in self.nodes() {
                    self.steps.push((at, Action::Kill(node)));
                    self.steps.push((until, Action::Start(node)));
                }
            }
            Draw::Terminate => {
                let node = self.node();
                self.steps.push((at, Action::Terminate(node)));
            }
            Draw::TerminateInTurn => {
                let gap = self.rng.random_range(200..1_000);
                let nodes = self.nodes();
                let count = self.rng.random_range(SERIES);
                for (number, node) in (0..count).zip(nodes) {
                    let at = Millis(at.0 + number * gap);
                    self.steps.push((at, Action::Terminate(node)));
                }
            }
            Draw::Pause => {
                let node = self.node();
                let until = self.after(at, PAUSE_MS);
                self.steps.push((at, Action::Pause(node)));
                self.steps.push((until, Action::Resume(node)));
            }
            Draw::Reload => {
                let node = self.node();
                self.steps.push((at, Action::Reload(node)));
            }
            Draw::Link => {
                let (node, mode) = (self.node(), self.link_mode());
                let until = self.after(at, STORE_MS);
                self.steps.push((at, Action::Link(node, mode)));
                let open = Action::Link(node, LinkMode::Open);
                self.steps.push((until, open));
            }
            Draw::Links => {
                let mode = self.link_mode();
                let until = self.after(at, STORE_MS);
                self.steps.push((at, Action::Links(mode)));
                self.steps.push((until, Action::Links(LinkMode::Open)));
            }
            Draw::StoreRefuses => {
                let until = self.after(at, STORE_MS);
                self.steps.push((at, Action::StoreRefuses(true)));
                self.steps.push((until, Action::StoreRefuses(false)));
            }
            Draw::Compact => self.steps.push((at, Action::Compact)),
            Draw::Configure => self.steps.push((at, Action::Configure)),
            Draw::ConfigureOften => {
                for number in 0..self.rng.random_range(SERIES) {
                    let at = Millis(at.0 + number * 300);
                    self.steps.push((at, Action::Configure));
                }
            }
            Draw::CrashTarget => {
                let target = self.rng.random_range(0..self.shape.targets);
                let until = self.after(at, AWAY_MS);
                self.steps.push((at, Action::CrashTarget(target)));
                self.steps.push((until, Action::StartTarget(target)));
            }
            Draw::DrainTarget => {
                let target = self.rng.random_range(0..self.shape.targets);
                self.steps.push((at, Action::DrainTarget(target)));
            }
            Draw::Loss => {
                let until = self.after(at, STORE_MS);
                let one_in = self.rng.random_range(10..100);
                self.steps.push((at, Action::Loss(one_in)));
                self.steps.push((until, Action::Loss(0)));
            }
        }
    }

    /// In half of the plans the store goes away and comes back from a copy, at times twice. Drawn by numbers of
    /// its own, so that the other steps of a seed are what they were before there was this one.
    fn draw_restore(&mut self, seed: u64, last: Millis) {
        let mut rng = SmallRng::seed_from_u64(!seed);
        for _ in 0..rng.random_range(0..3_u32) {
            let copied = rng.random_range(0..last.0.max(1));
            let away = copied + rng.random_range(COPY_AGE_MS);
            let back = away + rng.random_range(RESTORE_MS);
            self.steps.push((Millis(copied), Action::BackUp));
            self.steps.push((Millis(away), Action::StoreRefuses(true)));
            self.steps.push((Millis(back), Action::Restore));
            self.steps.push((Millis(back), Action::StoreRefuses(false)));
        }
    }

    fn kill(&mut self, at: Millis, node: Node) {
        let until = self.after(at, AWAY_MS);
        self.steps.push((at, Action::Kill(node)));
        self.steps.push((until, Action::Start(node)));
    }

    fn after(&mut self, at: Millis, range: std::ops::Range<u64>) -> Millis {
        Millis(at.0 + self.rng.random_range(range))
    }

    fn balancer(&mut self) -> Node {
        Node::Balancer(self.rng.random_range(0..self.shape.balancers))
    }

    fn agent(&mut self) -> Node {
        Node::Agent(self.rng.random_range(0..self.shape.targets))
    }

    fn node(&mut self) -> Node {
        if self.rng.random() {
            self.balancer()
        } else {
            self.agent()
        }
    }

    fn nodes(&self) -> Vec<Node> {
        self.shape.nodes().collect()
    }

    fn link_mode(&mut self) -> LinkMode {
        match self.rng.random_range(0..3) {
            0 => LinkMode::Refusing,
            1 => LinkMode::Silent,
            _ => LinkMode::Slow(Millis(self.rng.random_range(100..1_500))),
        }
    }
}

impl Shape {
    /// All processes.
    pub fn nodes(self) -> impl Iterator<Item = Node> {
        let balancers = (0..self.balancers).map(Node::Balancer);
        balancers.chain((0..self.targets).map(Node::Agent))
    }
}

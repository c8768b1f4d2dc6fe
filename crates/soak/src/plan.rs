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
const MEAN_GAP_MS: u64 = 700;

/// Longest trouble, so that each is over before the plan ends.
const MAX_FAULT_MS: u64 = 4_500;

/// Pauses, some shorter and some longer than the silence that counts as a loss.
const PAUSE_MS: std::ops::Range<u64> = 100..3_500;

/// Time for which a killed process stays away.
const DOWNTIME_MS: std::ops::Range<u64> = 100..3_500;

/// Troubles of the store.
const STORE_FAULT_MS: std::ops::Range<u64> = 500..MAX_FAULT_MS;

/// Age of the copy that the store comes back from.
const BACKUP_AGE_MS: std::ops::Range<u64> = 200..3_500;

/// Time for which the store is away before it comes back from a copy.
const RESTORE_OUTAGE_MS: std::ops::Range<u64> = 50..1_000;

/// Quick steps of one kind in a row: restarts one after another, changes in quick succession.
const SERIES_LEN: std::ops::Range<u64> = 2..5;

/// Kinds of draws, each as likely as the others.
#[derive(Clone, Copy)]
enum StepKind {
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

const STEP_KINDS: [StepKind; 16] = [
    StepKind::KillBalancer,
    StepKind::KillAgent,
    StepKind::KillAll,
    StepKind::Terminate,
    StepKind::TerminateInTurn,
    StepKind::Pause,
    StepKind::Reload,
    StepKind::Link,
    StepKind::Links,
    StepKind::StoreRefuses,
    StepKind::Compact,
    StepKind::Configure,
    StepKind::ConfigureOften,
    StepKind::CrashTarget,
    StepKind::DrainTarget,
    StepKind::Loss,
];

impl Plan {
    /// Draws a plan. Nothing new begins within the longest trouble's time before its end.
    #[must_use]
    pub fn draw(seed: u64, shape: Shape, length: Millis) -> Self {
        let mut builder = PlanBuilder {
            rng: SmallRng::seed_from_u64(seed),
            shape,
            steps: Vec::new(),
        };
        let last = length.0.saturating_sub(MAX_FAULT_MS);
        let mut at = 0;
        loop {
            at += builder.rng.random_range(1..2 * MEAN_GAP_MS);
            if at >= last {
                break;
            }
            builder.draw(Millis(at));
        }
        builder.draw_restore(seed, Millis(last));
        let mut steps = builder.steps;
        steps.sort_by_key(|(at, _)| *at);
        Self { steps, length }
    }
}

struct PlanBuilder {
    rng: SmallRng,
    shape: Shape,
    steps: Vec<(Millis, Action)>,
}

impl PlanBuilder {
    fn draw(&mut self, at: Millis) {
        let kind = *STEP_KINDS
            .choose(&mut self.rng)
            .unwrap_or(&StepKind::Configure);
        match kind {
            StepKind::KillBalancer => {
                let node = self.balancer();
                self.kill(at, node);
            }
            StepKind::KillAgent => {
                let node = self.agent();
                self.kill(at, node);
            }
            StepKind::KillAll => {
                let until = self.after(at, DOWNTIME_MS);
                for node in self.nodes() {
                    self.steps.push((at, Action::Kill(node)));
                    self.steps.push((until, Action::Start(node)));
                }
            }
            StepKind::Terminate => {
                let node = self.node();
                self.steps.push((at, Action::Terminate(node)));
            }
            StepKind::TerminateInTurn => {
                let gap = self.rng.random_range(200..1_000);
                let nodes = self.nodes();
                let count = self.rng.random_range(SERIES_LEN);
                for (number, node) in (0..count).zip(nodes) {
                    let at = Millis(at.0 + number * gap);
                    self.steps.push((at, Action::Terminate(node)));
                }
            }
            StepKind::Pause => {
                let node = self.node();
                let until = self.after(at, PAUSE_MS);
                self.steps.push((at, Action::Pause(node)));
                self.steps.push((until, Action::Resume(node)));
            }
            StepKind::Reload => {
                let node = self.node();
                self.steps.push((at, Action::Reload(node)));
            }
            StepKind::Link => {
                let (node, mode) = (self.node(), self.link_mode());
                let until = self.after(at, STORE_FAULT_MS);
                self.steps.push((at, Action::Link(node, mode)));
                let open = Action::Link(node, LinkMode::Open);
                self.steps.push((until, open));
            }
            StepKind::Links => {
                let mode = self.link_mode();
                let until = self.after(at, STORE_FAULT_MS);
                self.steps.push((at, Action::Links(mode)));
                self.steps.push((until, Action::Links(LinkMode::Open)));
            }
            StepKind::StoreRefuses => {
                let until = self.after(at, STORE_FAULT_MS);
                self.steps.push((at, Action::StoreRefuses(true)));
                self.steps.push((until, Action::StoreRefuses(false)));
            }
            StepKind::Compact => self.steps.push((at, Action::Compact)),
            StepKind::Configure => self.steps.push((at, Action::Configure)),
            StepKind::ConfigureOften => {
                for number in 0..self.rng.random_range(SERIES_LEN) {
                    let at = Millis(at.0 + number * 300);
                    self.steps.push((at, Action::Configure));
                }
            }
            StepKind::CrashTarget => {
                let target = self.rng.random_range(0..self.shape.targets);
                let until = self.after(at, DOWNTIME_MS);
                self.steps.push((at, Action::CrashTarget(target)));
                self.steps.push((until, Action::StartTarget(target)));
            }
            StepKind::DrainTarget => {
                let target = self.rng.random_range(0..self.shape.targets);
                self.steps.push((at, Action::DrainTarget(target)));
            }
            StepKind::Loss => {
                let until = self.after(at, STORE_FAULT_MS);
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
            let away = copied + rng.random_range(BACKUP_AGE_MS);
            let back = away + rng.random_range(RESTORE_OUTAGE_MS);
            self.steps.push((Millis(copied), Action::BackUp));
            self.steps.push((Millis(away), Action::StoreRefuses(true)));
            self.steps.push((Millis(back), Action::Restore));
            self.steps.push((Millis(back), Action::StoreRefuses(false)));
        }
    }

    fn kill(&mut self, at: Millis, node: Node) {
        let until = self.after(at, DOWNTIME_MS);
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

//! Plan of the faults and configuration changes of one run, drawn from its seed.
//!
//! The plan is drawn before anything runs, so that a seed can be replayed and its plan printed.
//! Faults overlap and repeat. Every fault is undone before the plan ends.

use citronhollow_core::clock::Millis;
use derive_more::Display;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A process, identified by its kind and number.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Node {
    /// A balancer.
    #[display("balancer-{_0}")]
    Balancer(usize),
    /// The agent next to the target of the same number.
    #[display("agent-{_0}")]
    Agent(usize),
}

/// Mode of the proxy between a process and the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards everything.
    Open,
    /// Closes every connection.
    Refusing,
    /// Accepts connections and data but never responds.
    Silent,
    /// Delays each new connection by this time.
    Slow(Millis),
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Kills the process.
    Kill(Node),
    /// Starts the process, unless it is running.
    Start(Node),
    /// Asks the process to stop. It is restarted after its exit.
    Terminate(Node),
    /// Freezes the process.
    Pause(Node),
    /// Resumes a frozen process.
    Resume(Node),
    /// Signals the process to reload its settings.
    Reload(Node),
    /// Sets the mode of the process's proxy to the store.
    Link(Node, LinkMode),
    /// Sets the mode of all proxies to the store.
    Links(LinkMode),
    /// Makes the store refuse every call, or serve calls again.
    StoreRefuses(bool),
    /// Compacts the history of the store.
    Compact,
    /// Takes a backup of the store.
    BackUp,
    /// Restores the store from the backup. The operator then rewrites the current configuration.
    Restore,
    /// Gives no answer to the next write at the store, and executes it this much later.
    DelayWrite(Millis),
    /// Sets how far the clock of the target's VM is ahead, in ms, for the next starts of the target.
    StepClock(usize, i64),
    /// Sends one more heartbeat of the target's previous start.
    LateHeartbeat(usize),
    /// Sends the leave notice of the target's previous start once more.
    LateLeave(usize),
    /// Writes the next configuration.
    Configure,
    /// Crashes the target without an announcement.
    CrashTarget(usize),
    /// Starts the target, unless it is running.
    StartTarget(usize),
    /// Makes the target announce that it drains and exit after the drain time.
    DrainTarget(usize),
    /// Drops one in this many datagrams, none if zero.
    Loss(u32),
}

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
}

/// A plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Steps with their times, in chronological order.
    pub steps: Vec<(Millis, Action)>,
    /// Time at which the last fault is over.
    pub length: Millis,
}

/// Mean time between two draws, in milliseconds.
const MEAN_GAP_MS: u64 = 700;

/// Maximum duration of a fault, in milliseconds. No draw is made later than this before the
/// end of the plan.
const MAX_FAULT_MS: u64 = 4_500;

/// Duration of a pause, in milliseconds. The range includes values below and above the time after
/// which balancers consider an agent lost.
const PAUSE_MS: std::ops::Range<u64> = 100..3_500;

/// Time between a kill and the next start of a process, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 100..3_500;

/// Duration of a store fault or of packet loss, in milliseconds.
const STORE_FAULT_MS: std::ops::Range<u64> = 500..MAX_FAULT_MS;

/// Time between a backup and the outage that ends with its restore, in milliseconds.
const BACKUP_AGE_MS: std::ops::Range<u64> = 200..3_500;

/// Time for which the store is unavailable before a restore, in milliseconds.
const RESTORE_OUTAGE_MS: std::ops::Range<u64> = 50..1_000;

/// Time by which a write without an answer is executed late, in milliseconds.
const LATE_WRITE_MS: std::ops::Range<u64> = 1_000..6_000;

/// Time from the announcement of a planned exit to a late leave notice, in milliseconds. The next
/// start has registered by then.
const LATE_LEAVE_MS: std::ops::Range<u64> = 3_900..MAX_FAULT_MS;

/// Largest step of a clock, in milliseconds.
const CLOCK_STEP_MAX_MS: i64 = 3_000;

/// Number of steps in a series, such as rolling restarts or rapid configuration changes.
const SERIES_LEN: std::ops::Range<u64> = 2..5;

/// Kinds of steps, drawn with equal probability.
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
    /// Draws a plan. No draw is made within `MAX_FAULT_MS` of its end.
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
        builder.draw_late_messages(seed, Millis(last));
        builder.draw_late_leaves(seed);
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

    /// Draws up to two outages of the store that end with a restore from a backup. They use a
    /// separate random generator, so that the other steps of a seed are the same as before restores
    /// were added.
    fn draw_restore(&mut self, seed: u64, last: Millis) {
        let mut rng = SmallRng::seed_from_u64(!seed);
        for _ in 0..rng.random_range(0..3_u32) {
            let backup_at = rng.random_range(0..last.0.max(1));
            let outage_at = backup_at + rng.random_range(BACKUP_AGE_MS);
            let restored_at = outage_at + rng.random_range(RESTORE_OUTAGE_MS);
            self.steps.push((Millis(backup_at), Action::BackUp));
            self.steps
                .push((Millis(outage_at), Action::StoreRefuses(true)));
            self.steps.push((Millis(restored_at), Action::Restore));
            self.steps
                .push((Millis(restored_at), Action::StoreRefuses(false)));
        }
    }

    /// Draws late writes at the store around planned stops, steps of targets' clocks around their
    /// crashes, and late heartbeats of their former starts. They use a separate random generator,
    /// as restores do.
    fn draw_late_messages(&mut self, seed: u64, last: Millis) {
        let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
        let mut late = Vec::new();
        for (at, action) in &self.steps {
            let by = Millis(rng.random_range(LATE_WRITE_MS));
            match action {
                Action::Terminate(_) if rng.random() => late.push((*at, Action::DelayWrite(by))),
                Action::CrashTarget(target) => {
                    let ahead = rng.random_range(-CLOCK_STEP_MAX_MS..=CLOCK_STEP_MAX_MS);
                    late.push((*at, Action::StepClock(*target, ahead)));
                    for _ in 0..rng.random_range(0..3_u32) {
                        let at = Millis(at.0 + rng.random_range(0..MAX_FAULT_MS));
                        late.push((at, Action::LateHeartbeat(*target)));
                    }
                }
                _ => {}
            }
        }
        for _ in 0..rng.random_range(0..3_u32) {
            let at = Millis(rng.random_range(0..last.0.max(1)));
            let by = Millis(rng.random_range(LATE_WRITE_MS));
            late.push((at, Action::DelayWrite(by)));
        }
        self.steps.extend(late);
    }

    /// Draws late leave notices after half of the planned exits of targets, with a separate random
    /// generator.
    fn draw_late_leaves(&mut self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
        let mut late = Vec::new();
        for (at, action) in &self.steps {
            if let Action::DrainTarget(target) = action
                && rng.random()
            {
                let at = Millis(at.0 + rng.random_range(LATE_LEAVE_MS));
                late.push((at, Action::LateLeave(*target)));
            }
        }
        self.steps.extend(late);
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
    /// Iterates over all processes.
    pub fn nodes(self) -> impl Iterator<Item = Node> {
        let balancers = (0..self.balancers).map(Node::Balancer);
        balancers.chain((0..self.targets).map(Node::Agent))
    }
}

//! Simulation of gossip among many balancers, driven by one event queue.
//!
//! The network model covers only delay, loss and the partition of one region.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::{Action, GossipNode, INLINE_MAX, Summary, Update};
use citronhollow_core::hash;
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    BalancerRecord, TargetRecord, TargetState, TargetUpdate, bucket_of,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Failure domains at the design size.
const DOMAINS: usize = 20;

/// Regions at the design size.
const REGIONS: usize = 6;

/// Interval between ticks of a node.
const TICK: Millis = Millis(100);

/// Delay of a datagram, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 2..26;

/// Sizes of the parts of messages on the wire, in bytes, including IP and UDP headers.
mod bytes {
    pub const DATAGRAM: u64 = 28 + 2 + 16 + 3;
    pub const TARGET: u64 = 56;
    pub const VERDICT: u64 = 26;
    pub const BALANCER: u64 = 48;
    pub const NUMBER: u64 = 5;
    pub const DIGESTS: u64 = 64 * 8 + 3;
    /// Overhead of a TCP connection in both directions.
    pub const CONNECTION: u64 = 400;
}

enum Event {
    Tick,
    Update(SocketAddr, Update, u64),
    Summary(Summary),
    Members(Vec<TargetUpdate>, Vec<BalancerRecord>),
    Revision(u64),
}

struct Due {
    at: Millis,
    order: u64,
    to: usize,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Messages and bytes that one node sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub sent: u64,
    pub received: u64,
}

/// The simulated fleet with its event queue and clock.
pub struct Fleet {
    pub now: Millis,
    pub loss_percent: u32,
    pub partitioned_region: Option<usize>,
    /// Length of a revision's content, in bytes.
    pub revision_bytes: usize,
    pub traffic: Vec<Traffic>,
    nodes: Vec<GossipNode>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    rng: SmallRng,
}

fn addr_of(node: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(node).expect("a small fleet").to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

fn node_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("the simulation supports IPv4 addresses only");
    };
    usize::try_from(addr.ip().to_bits() & 0x00ff_ffff).expect("a small fleet")
}

fn region_of(node: usize) -> usize {
    node % DOMAINS % REGIONS
}

fn balancer(node: usize) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId::of(&format!("balancer-{node}")),
        domain: DomainId((node % DOMAINS) as u64),
        control: addr_of(node),
        leaving: false,
        incarnation: 1,
        sequence: 1,
    }
}

/// A target's record as its agent announces it.
pub fn target(number: u64, sequence: u64) -> TargetRecord {
    TargetRecord {
        id: TargetId(hash::pair(number, 0)),
        group: GroupId(number / 5),
        domain: DomainId(number % DOMAINS as u64),
        agent: SocketAddr::from(([10, 1, 0, 1], 9_000)),
        slots: 2,
        state: TargetState::Ready,
        incarnation: 1,
        sequence,
    }
}

impl Fleet {
    /// Nodes that know each other and the targets, and have no pending updates.
    pub fn idle(size: usize, targets: &[TargetRecord], seed: u64) -> Self {
        let mut fleet = Self {
            now: Millis::ZERO,
            loss_percent: 0,
            partitioned_region: None,
            revision_bytes: INLINE_MAX,
            traffic: vec![Traffic::default(); size],
            nodes: (0..size)
                .map(|node| GossipNode::new(balancer(node), Vec::new()))
                .collect(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        // A node raises its sequence when it joins.
        let joined: Vec<BalancerRecord> = (0..size)
            .map(|node| BalancerRecord {
                sequence: 2,
                ..balancer(node)
            })
            .collect();
        let targets: Vec<TargetUpdate> = targets.iter().copied().map(TargetUpdate::alive).collect();
        for node in &mut fleet.nodes {
            node.on_members(Millis::ZERO, &targets, &joined);
        }
        for node in 0..size {
            let phase = Millis(fleet.rng.random_range(0..TICK.0));
            fleet.schedule(phase, node, Event::Tick);
        }
        fleet.loss_percent = 100;
        fleet.run(Millis::from_secs(2));
        fleet.loss_percent = 0;
        fleet.run(Millis::from_secs(10));
        fleet.traffic = vec![Traffic::default(); size];
        fleet
    }

    pub fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// A random node inside or outside a region.
    pub fn node_in(&mut self, region: usize, is_in: bool) -> usize {
        loop {
            let node = self.random_node();
            if (region_of(node) == region) == is_in {
                return node;
            }
        }
    }

    /// Delivers an agent's only heartbeat to a node.
    pub fn heartbeat(&mut self, node: usize, record: TargetRecord) {
        self.nodes[node].on_heartbeat(self.now, record, false);
        // The agent reports to other balancers from now on, so the node expects no more heartbeats.
        self.nodes[node].on_heartbeat(self.now, record, true);
    }

    /// Delivers a heartbeat to a node, which expects more of them.
    pub fn report(&mut self, node: usize, record: TargetRecord) {
        self.nodes[node].on_heartbeat(self.now, record, false);
    }

    /// Puts a revision into force at a node.
    pub fn publish(&mut self, node: usize, number: u64) {
        self.nodes[node].on_revision(number, self.revision_bytes);
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Millis) {
        let end = self.now.after(span);
        self.run_until(end, |_| false);
    }

    /// Advances the time until all nodes satisfy `check`, and returns the time taken, or `None`
    /// after `limit`.
    pub fn time_until(
        &mut self,
        limit: Millis,
        check: impl Fn(&GossipNode) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        let is_done = |fleet: &Self| fleet.nodes.iter().all(&check);
        self.run_until(start.after(limit), is_done)
            .then(|| self.now.since(start))
    }

    fn run_until(&mut self, end: Millis, is_done: impl Fn(&Self) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > end {
                self.queue.push(Reverse(due));
                break;
            }
            self.now = self.now.max(due.at);
            self.handle(due);
            if self.now >= next_check {
                next_check = self.now.after(Millis(50));
                if is_done(self) {
                    return true;
                }
            }
        }
        self.now = end;
        is_done(self)
    }

    fn handle(&mut self, due: Due) {
        let now = self.now;
        let mut out = Vec::new();
        let node = &mut self.nodes[due.to];
        match due.event {
            Event::Tick => {
                node.on_tick(now, &mut out);
                self.schedule(now.after(TICK), due.to, Event::Tick);
            }
            Event::Update(from, update, content) => {
                node.on_revision(content, self.revision_bytes);
                node.on_update(now, from, &update, &mut out);
            }
            Event::Summary(summary) => node.on_summary(now, &summary, &mut out),
            Event::Members(targets, balancers) => node.on_members(now, &targets, &balancers),
            Event::Revision(number) => {
                node.on_revision(number, self.revision_bytes);
                node.on_revision_fetched(now);
            }
        }
        for action in out {
            self.carry_out(due.to, action);
        }
    }

    fn carry_out(&mut self, from: usize, action: Action) {
        match action {
            // Only publishers and balancers with a waiting operator poll. This fleet has neither.
            Action::AskLowest { .. } => {}
            Action::Push { to, update } => {
                let content = if update.carries_revision {
                    update.revision
                } else {
                    0
                };
                let size = self.size_of_push(&update);
                self.send(
                    from,
                    node_of(to),
                    size,
                    Event::Update(addr_of(from), update, content),
                );
            }
            Action::Compare { to, summary } => {
                let size = bytes::DATAGRAM + bytes::BALANCER + bytes::DIGESTS + bytes::NUMBER;
                self.send(from, node_of(to), size, Event::Summary(summary));
            }
            Action::FetchMembers {
                from: peer,
                buckets,
            } => {
                let (targets, balancers) = self.members(node_of(peer), &buckets);
                let size =
                    targets.len() as u64 * bytes::TARGET + balancers.len() as u64 * bytes::BALANCER;
                self.fetch(
                    from,
                    node_of(peer),
                    size,
                    Event::Members(targets, balancers),
                );
            }
            Action::FetchRevision { from: peer } => {
                let number = self.nodes[node_of(peer)].revision();
                let size = self.revision_bytes as u64;
                self.fetch(from, node_of(peer), size, Event::Revision(number));
            }
        }
    }

    fn size_of_push(&self, update: &Update) -> u64 {
        let content = if update.carries_revision {
            self.revision_bytes as u64
        } else {
            0
        };
        bytes::DATAGRAM
            + bytes::NUMBER
            + update.targets.len() as u64 * bytes::TARGET
            + update.verdicts.len() as u64 * bytes::VERDICT
            + update.balancers.len() as u64 * bytes::BALANCER
            + content
    }

    fn members(&self, node: usize, buckets: &[usize]) -> (Vec<TargetUpdate>, Vec<BalancerRecord>) {
        let node = &self.nodes[node];
        let is_in = |id: u64| buckets.contains(&bucket_of(id));
        let targets = node.view().targets(self.now);
        let balancers = node.view().balancers().iter();
        (
            targets.filter(|it| is_in(it.record.id.0)).collect(),
            balancers.filter(|it| is_in(it.id.0)).copied().collect(),
        )
    }

    fn send(&mut self, from: usize, to: usize, size: u64, event: Event) {
        self.traffic[from].messages += 1;
        self.traffic[from].sent += size;
        let is_lost = self.rng.random_range(0..100) < self.loss_percent;
        if is_lost || self.is_partitioned(from, to) {
            return;
        }
        self.traffic[to].received += size;
        let at = self.now.after(self.delay());
        self.schedule(at, to, event);
    }

    /// TCP retransmits lost segments, so a fetch is slow under loss but fails only under a
    /// partition.
    fn fetch(&mut self, by: usize, from: usize, size: u64, event: Event) {
        if self.is_partitioned(by, from) || self.loss_percent == 100 {
            return;
        }
        self.traffic[from].messages += 1;
        self.traffic[from].sent += size + bytes::CONNECTION / 2;
        self.traffic[from].received += bytes::CONNECTION / 2;
        self.traffic[by].sent += bytes::CONNECTION / 2;
        self.traffic[by].received += size + bytes::CONNECTION / 2;
        let mut at = self.now;
        for _ in 0..4 {
            at = at.after(self.delay());
            if self.rng.random_range(0..100) < self.loss_percent {
                at = at.after(Millis(200));
            }
        }
        self.schedule(at, by, event);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitioned_region
            .is_some_and(|region| (region_of(from) == region) != (region_of(to) == region))
    }

    fn delay(&mut self) -> Millis {
        Millis(self.rng.random_range(DELAY_MS))
    }

    fn schedule(&mut self, at: Millis, to: usize, event: Event) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Due {
            at,
            order,
            to,
            event,
        }));
    }
}

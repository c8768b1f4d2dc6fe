//! Simulation of publishers, operators and followers with one platform. Tests control the time, the
//! calls and the faults, and every new state of the platform is checked against the invariants.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Revision, check};
use citronhollow_core::publisher::{
    Action, Answer, Call, CallId, Document, Draft, DraftStatus, Event, Index, Key, Kind, Notice,
    PublicationTimes, Publisher, PublisherConfig, Report, Stamp, documents_of, draft_status,
};

use crate::store::{Snapshot, Store};

/// Fault that is injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The request never arrives.
    LoseRequest,
    /// The call is run, and its answer is lost.
    LoseAnswer,
    /// The caller gives up waiting, and the request may arrive at any later time.
    Delay,
    /// The call is answered with [`Answer::NotRun`].
    NotRun,
    /// A write is answered with a conflict although its condition holds.
    Conflict,
    /// A read returns the state of this many changes ago.
    Stale(usize),
    /// The process is paused right before it sends the request.
    PauseBeforeSend,
    /// The process is paused right before it receives the answer.
    PauseBeforeAnswer,
    /// The process is killed before it sends the request.
    KillBeforeSend,
    /// The process is killed before it receives the answer.
    KillBeforeAnswer,
}

#[derive(Debug)]
struct Sent {
    node: usize,
    id: CallId,
    call: Call,
}

#[derive(Debug)]
struct Node {
    publisher: Publisher,
    /// Difference between the node's clock and the simulation's, in ms.
    offset: u64,
    is_paused: bool,
    held_calls: Vec<Sent>,
    held_answers: Vec<(CallId, Answer)>,
    in_force: Revision,
    /// Version of the index that the node read last.
    followed: u64,
}

/// Numbers of events, which show that a run exercised each case.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub calls: u64,
    pub faults: u64,
    pub published: u64,
    pub refused: u64,
    pub takeovers: u64,
    pub delayed_writes: u64,
    pub fenced_writes: u64,
    pub part_sets: u64,
    pub swept_parts: u64,
    pub sweeps: u64,
}

#[derive(Debug)]
pub struct Simulation {
    pub store: Store,
    pub now: Millis,
    pub counts: Counts,
    /// Whether a process is paused right before it writes the index.
    pub pauses_at_index: bool,
    /// Draft that an operator writes after the next listing of the drafts is read, and before its
    /// answer arrives.
    pub apply_at_listing: Option<Document>,
    /// Revision of an agent that lags behind.
    pub agent: Revision,
    nodes: Vec<Node>,
    queue: VecDeque<Sent>,
    delayed: Vec<Sent>,
    times: PublicationTimes,
    runs: u64,
    operator_sequence: u64,
    verified: usize,
    writers: BTreeMap<u64, String>,
    /// Epoch and documents of each revision when it was first published.
    by_number: BTreeMap<u64, (u64, Documents)>,
}

impl Simulation {
    pub fn new(nodes: usize, max_inline_bytes: usize) -> Self {
        let times = PublicationTimes {
            max_inline_bytes,
            sweep_after: Millis::from_secs(3),
            ..PublicationTimes::default()
        };
        let mut sim = Self {
            store: Store::default(),
            now: Millis(1_000),
            counts: Counts::default(),
            agent: Revision::default(),
            pauses_at_index: false,
            apply_at_listing: None,
            nodes: Vec::new(),
            queue: VecDeque::new(),
            delayed: Vec::new(),
            times,
            runs: 0,
            operator_sequence: 0,
            verified: 0,
            writers: BTreeMap::new(),
            by_number: BTreeMap::new(),
        };
        for _ in 0..nodes {
            let node = sim.new_node();
            sim.nodes.push(node);
        }
        sim
    }

    fn new_node(&mut self) -> Node {
        self.runs += 1;
        let cfg = PublisherConfig {
            writer: format!("run-{}", self.runs),
            publication: self.times,
            ..PublisherConfig::default()
        };
        Node {
            publisher: Publisher::new(cfg),
            offset: 100_000_000 + self.runs * 12_345,
            is_paused: false,
            held_calls: Vec::new(),
            held_answers: Vec::new(),
            in_force: Revision::default(),
            followed: 0,
        }
    }

    /// Delivers a revision to a balancer, as if received from another balancer.
    pub fn deliver_revision(&mut self, node: usize, revision: Revision) {
        self.offer(node, revision);
    }

    /// Advances the time and makes all calls that result.
    pub fn advance(&mut self, span: Millis, faults: &mut dyn Iterator<Item = Fault>) {
        self.now = self.now.after(span);
        for node in 0..self.nodes.len() {
            self.feed(node, Event::Tick);
        }
        self.run_calls(faults);
    }

    /// Advances the time in small steps without faults.
    pub fn run_freely(&mut self, span: Millis) {
        const STEP: Millis = Millis(250);
        for _ in 0..span.0 / STEP.0 {
            self.advance(STEP, &mut std::iter::empty());
            for node in 0..self.nodes.len() {
                self.follow(node);
            }
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.queue.retain(|sent| sent.node != node);
        self.nodes[node] = self.new_node();
    }

    /// Advances the time while the clock of one process stands still.
    pub fn advance_slow(&mut self, span: Millis, node: usize) {
        self.nodes[node].offset -= span.0;
        self.advance(span, &mut std::iter::empty());
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].is_paused = true;
    }

    /// Resumes a process. It first completes the calls and answers that the pause interrupted.
    pub fn resume(&mut self, node: usize, faults: &mut dyn Iterator<Item = Fault>) {
        self.nodes[node].is_paused = false;
        let calls = std::mem::take(&mut self.nodes[node].held_calls);
        self.queue.extend(calls);
        let answers = std::mem::take(&mut self.nodes[node].held_answers);
        for (id, answer) in answers {
            self.feed(node, Event::Answered { id, answer });
        }
        self.run_calls(faults);
    }

    pub fn resume_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.resume(node, &mut std::iter::empty());
        }
    }

    /// Delivers a request for which the caller gave up waiting.
    pub fn deliver_delayed(&mut self, position: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let sent = self.delayed.remove(position % self.delayed.len());
        let answer = self.store.run(&sent.call);
        match answer {
            Answer::Written { .. } => self.counts.delayed_writes += 1,
            Answer::Conflict { .. } => self.counts.fenced_writes += 1,
            _ => {}
        }
        self.verify();
    }

    pub fn stop(&mut self, node: usize) {
        self.feed(node, Event::Stop);
        self.run_calls(&mut std::iter::empty());
    }

    pub fn is_stopped(&self, node: usize) -> bool {
        self.nodes[node].publisher.is_stopped()
    }

    pub fn holder(&self) -> Option<usize> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.publisher.held().is_some())
    }

    pub fn holds(&self, node: usize) -> bool {
        self.nodes[node].publisher.held().is_some()
    }

    pub fn holders(&self) -> usize {
        (0..self.nodes.len())
            .filter(|node| self.holds(*node))
            .count()
    }

    /// Lets a balancer take over the published revision.
    pub fn follow(&mut self, node: usize) {
        let version = self.store.now().version(Kind::Published);
        if self.nodes[node].is_paused || self.nodes[node].followed == version {
            return;
        }
        self.nodes[node].followed = version;
        let Some(revision) = self.published() else {
            return;
        };
        self.offer(node, revision);
    }

    /// Lets the agent take over the published revision.
    pub fn follow_agent(&mut self) {
        if let Some(revision) = self.published()
            && revision.number > self.agent.number
        {
            self.agent = revision;
        }
        self.report_lowest();
    }

    pub fn published(&self) -> Option<Revision> {
        let (_, index) = self.store.now().index()?;
        let parts = self.store.now().parts();
        Some(index.assemble(&parts).expect("the published set is whole"))
    }

    /// Writes a draft as an operator, on condition of its current version, and returns the new one.
    pub fn apply(&mut self, document: Document) -> u64 {
        let key = Key::named(Kind::Draft, document.draft_name());
        self.operator_sequence += 1;
        let stamp = Stamp {
            writer: String::from("operator"),
            sequence: self.operator_sequence,
        };
        let draft = Draft { stamp, document };
        let value = serde_json::to_value(draft).expect("JSON");
        self.write_draft(key, Some(value))
    }

    /// Removes a draft as an operator.
    pub fn remove(&mut self, name: &str) {
        let key = Key::named(Kind::Draft, name);
        if self.store.now().get(&key).is_some() {
            self.write_draft(key, None);
        }
    }

    fn write_draft(&mut self, key: Key, value: Option<serde_json::Value>) -> u64 {
        let if_version = self
            .store
            .now()
            .get(&key)
            .map_or(0, |object| object.version);
        let call = match value {
            Some(value) => Call::Put {
                key,
                if_version,
                value,
            },
            None => Call::Delete { key, if_version },
        };
        let Answer::Written { version } = self.store.run(&call) else {
            panic!("the write of an operator failed");
        };
        for node in 0..self.nodes.len() {
            self.feed(node, Event::DraftsChanged);
        }
        version
    }

    pub fn status(&self, name: &str, version: u64) -> DraftStatus {
        let change = citronhollow_core::publisher::DraftChange {
            name: String::from(name),
            version,
            is_removal: false,
        };
        let index = self.store.now().index().map(|(_, index)| index);
        let report = self.store.now().get(&Key::singleton(Kind::Report));
        let report: Option<Report> =
            report.map(|object| serde_json::from_value(object.value.clone()).expect("a report"));
        draft_status(&change, index.as_ref(), report.as_ref())
    }

    fn feed(&mut self, node: usize, event: Event) {
        if self.nodes[node].is_paused {
            if let Event::Answered { id, answer } = event {
                self.nodes[node].held_answers.push((id, answer));
            }
            return;
        }
        let now = self.now.after(Millis(self.nodes[node].offset));
        for action in self.nodes[node].publisher.handle(now, event) {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Call { id, call, .. } => {
                self.counts.calls += 1;
                self.counts.sweeps += u64::from(call == Call::List(Kind::Part));
                self.queue.push_back(Sent { node, id, call });
            }
            Action::Published(revision) => {
                self.verify();
                let (epoch, documents) = &self.by_number[&revision.number];
                assert_eq!(*epoch, revision.epoch, "another publisher's revision");
                assert_eq!(
                    *documents, revision.documents,
                    "a revision was announced that is not published"
                );
                self.counts.published += 1;
                self.offer(node, revision);
            }
            Action::Notice(Notice::TookLease { .. }) => self.counts.takeovers += 1,
            Action::Notice(Notice::Refused { .. }) => self.counts.refused += 1,
            Action::Notice(_) => {}
        }
    }

    fn offer(&mut self, node: usize, revision: Revision) {
        if revision.number > self.nodes[node].in_force.number {
            self.nodes[node].in_force = revision.clone();
            self.verify_addresses();
            self.feed(node, Event::InForce(revision));
            self.report_lowest();
        }
    }

    fn report_lowest(&mut self) {
        let balancers = self.nodes.iter().map(|node| node.in_force.number);
        let lowest = balancers.chain([self.agent.number]).min().unwrap_or(0);
        for node in 0..self.nodes.len() {
            self.feed(node, Event::LowestReported(lowest));
        }
    }

    fn run_calls(&mut self, faults: &mut dyn Iterator<Item = Fault>) {
        let mut steps = 0;
        while let Some(sent) = self.queue.pop_front() {
            steps += 1;
            assert!(steps < 2_000, "too many calls in one step: {sent:?}");
            if self.pauses_at_index && is_index_write(&sent.call) {
                self.pause(sent.node);
            }
            if self.nodes[sent.node].is_paused {
                let node = sent.node;
                self.nodes[node].held_calls.push(sent);
                continue;
            }
            let fault = faults.next().unwrap_or(Fault::None);
            self.counts.faults += u64::from(fault != Fault::None);
            self.call(sent, fault);
            self.verify();
        }
    }

    fn call(&mut self, sent: Sent, fault: Fault) {
        let Sent { node, id, call } = &sent;
        let (node, id) = (*node, *id);
        let is_listing = *call == Call::List(Kind::Draft);
        let answer = match fault {
            Fault::None | Fault::PauseBeforeAnswer | Fault::KillBeforeAnswer => {
                self.store.run(call)
            }
            Fault::LoseRequest => Answer::Lost,
            Fault::NotRun => Answer::NotRun,
            Fault::Stale(back) => self.store.run_stale(call, back),
            Fault::LoseAnswer => {
                self.store.run(call);
                Answer::Lost
            }
            Fault::Delay => {
                self.delayed.push(sent);
                Answer::Lost
            }
            Fault::Conflict => match call {
                Call::Put { if_version, .. } | Call::Delete { if_version, .. } => {
                    Answer::Conflict {
                        version: *if_version,
                    }
                }
                _ => self.store.run(call),
            },
            Fault::PauseBeforeSend => {
                self.pause(node);
                self.nodes[node].held_calls.push(sent);
                return;
            }
            Fault::KillBeforeSend => return self.kill(node),
        };
        if is_listing && let Some(document) = self.apply_at_listing.take() {
            self.apply(document);
        }
        match fault {
            Fault::PauseBeforeAnswer => self.pause(node),
            Fault::KillBeforeAnswer => return self.kill(node),
            _ => {}
        }
        self.feed(node, Event::Answered { id, answer });
    }

    /// Checks every new state of the store against the one before it.
    fn verify(&mut self) {
        let is_new = self.verified + 1 < self.store.history.len();
        while self.verified + 1 < self.store.history.len() {
            let before = self.store.history[self.verified].clone();
            let after = self.store.history[self.verified + 1].clone();
            self.verify_change(&before, &after);
            self.verified += 1;
        }
        if is_new {
            self.verify_addresses();
        }
    }

    fn verify_change(&mut self, before: &Snapshot, after: &Snapshot) {
        let is_same = |kind: Kind| before.version(kind) == after.version(kind);
        if is_same(Kind::Published) && is_same(Kind::Part) {
            return;
        }
        let parts_before = before.parts().len() as u64;
        let parts_after = after.parts().len() as u64;
        self.counts.swept_parts += parts_before.saturating_sub(parts_after);
        let Some((version, index)) = after.index() else {
            assert!(before.index().is_none(), "the index is gone");
            return;
        };
        let revision = index
            .assemble(&after.parts())
            .expect("the published set is complete at any moment");
        let old = before.index();
        if old.as_ref().is_some_and(|(old, _)| *old == version) {
            return;
        }
        let old = old.map(|(_, index)| index).unwrap_or_default();
        let report = before.get(&Key::singleton(Kind::Report));
        let checked_in = report.and_then(|report| report.value["epoch"].as_u64());
        assert!(
            checked_in.is_none_or(|epoch| index.epoch >= epoch),
            "a lower epoch's write took effect after a higher epoch's report"
        );
        self.verify_index(&old, &index, &revision.documents);
    }

    fn verify_index(&mut self, old: &Index, new: &Index, documents: &Documents) {
        assert!(new.number >= old.number, "the revision decreases");
        assert!(new.epoch >= old.epoch, "a lower epoch's write took effect");
        assert!(
            new.drafts_version >= old.drafts_version,
            "accepted drafts were taken back"
        );
        let writer = self
            .writers
            .entry(new.epoch)
            .or_insert_with(|| new.stamp.writer.clone());
        assert_eq!(
            *writer, new.stamp.writer,
            "two publishers wrote in epoch {}",
            new.epoch
        );
        assert_eq!(check(documents, &[]), [], "an unchecked set is published");
        let first = self
            .by_number
            .entry(new.number)
            .or_insert_with(|| (new.epoch, documents.clone()));
        assert_eq!(first.1, *documents, "revision {} changed", new.number);
        self.counts.part_sets += u64::from(!new.part_names().is_empty());
        if new.number > 0 {
            self.verify_drafts(new, documents);
        }
    }

    /// Asserts that the revision equals the drafts at the version that the index states.
    fn verify_drafts(&self, index: &Index, documents: &Documents) {
        let mut history = self.store.history.iter().rev();
        let drafts = history
            .find(|state| state.version(Kind::Draft) == index.drafts_version)
            .expect("the drafts had this version")
            .list(Kind::Draft);
        let expected = documents_of(&drafts).expect("they parse");
        assert_eq!(
            *documents, expected,
            "the revision differs from the drafts of its version"
        );
    }

    /// Asserts that no address belongs to two services among all live processes.
    fn verify_addresses(&self) {
        let mut owners: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        let balancers = self.nodes.iter().map(|node| &node.in_force.documents);
        let latest = self.by_number.last_key_value();
        let latest = latest.map(|(_, (_, documents))| documents);
        for documents in balancers.chain([&self.agent.documents]).chain(latest) {
            for service in &documents.services {
                for address in &service.addresses {
                    let owner = *owners.entry(*address).or_insert(&service.name);
                    assert_eq!(owner, service.name, "{address} has two owners at once");
                }
            }
        }
    }
}

fn is_index_write(call: &Call) -> bool {
    matches!(call, Call::Put { key, .. } if key.kind == Kind::Published)
}

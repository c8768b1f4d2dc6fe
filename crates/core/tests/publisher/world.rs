//! Publishers, operators and followers around one store, fed by hand.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{Documents, Revision, check};
use citronhollow_core::publisher::{
    Action, Answer, Call, CallId, Document, Draft, DraftStatus, Event, Index, Key, Kind, Notice,
    PublicationTimes, Publisher, PublisherConfig, Report, Stamp, documents_of, draft_status,
};

use crate::store::{Snapshot, Store};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// It never arrives.
    LoseRequest,
    /// It is run and its answer is lost.
    LoseAnswer,
    /// Its answer is given up, and it may arrive at any later time.
    Delay,
    /// It is answered as not run.
    NotRun,
    /// A write is answered with a conflict although its condition holds.
    Conflict,
    /// A read shows an older state.
    Stale(usize),
    /// The process is paused right before it sends.
    PauseBeforeSend,
    /// The process is paused right before it gets the answer.
    PauseBeforeAnswer,
    /// The process dies before it sends.
    KillBeforeSend,
    /// The process dies before it gets the answer.
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
    /// Its clock is this far ahead of the world's.
    offset: u64,
    is_paused: bool,
    held_calls: Vec<Sent>,
    held_answers: Vec<(CallId, Answer)>,
    in_force: Revision,
    /// Version of the index that it looked at last.
    followed: u64,
}

/// How often things happened, to show that a run was not empty.
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
pub struct World {
    pub store: Store,
    pub now: Millis,
    pub counts: Counts,
    /// A process is paused right before it writes the index.
    pub pauses_at_index: bool,
    /// An operator writes this while the next listing of the drafts is on its way back.
    pub apply_at_listing: Option<Document>,
    /// Revision of an agent that follows late.
    pub agent: Revision,
    nodes: Vec<Node>,
    queue: VecDeque<Sent>,
    delayed: Vec<Sent>,
    times: PublicationTimes,
    runs: u64,
    operator_sequence: u64,
    verified: usize,
    writers: BTreeMap<u64, String>,
    /// Epoch and documents of each revision as it was first published.
    by_number: BTreeMap<u64, (u64, Documents)>,
}

impl World {
    pub fn new(nodes: usize, max_inline_bytes: usize) -> Self {
        let times = PublicationTimes {
            max_inline_bytes,
            sweep_after: Millis::from_secs(3),
            ..PublicationTimes::default()
        };
        let mut world = Self {
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
            let node = world.new_node();
            world.nodes.push(node);
        }
        world
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

    /// A balancer has learnt a revision from another one.
    pub fn learn(&mut self, node: usize, revision: Revision) {
        self.offer(node, revision);
    }

    /// Lets time pass and makes all calls that come of it.
    pub fn advance(&mut self, span: Millis, faults: &mut dyn Iterator<Item = Fault>) {
        self.now = self.now.after(span);
        for node in 0..self.nodes.len() {
            self.feed(node, Event::Tick);
        }
        self.pump(faults);
    }

    /// Lets time pass in small steps without faults.
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

    /// Lets time pass that one process's clock does not show.
    pub fn advance_slow(&mut self, span: Millis, node: usize) {
        self.nodes[node].offset -= span.0;
        self.advance(span, &mut std::iter::empty());
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].is_paused = true;
    }

    /// Whatever the process was about to do, it does first.
    pub fn resume(&mut self, node: usize, faults: &mut dyn Iterator<Item = Fault>) {
        self.nodes[node].is_paused = false;
        let calls = std::mem::take(&mut self.nodes[node].held_calls);
        self.queue.extend(calls);
        let answers = std::mem::take(&mut self.nodes[node].held_answers);
        for (id, answer) in answers {
            self.feed(node, Event::Answered { id, answer });
        }
        self.pump(faults);
    }

    pub fn resume_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.resume(node, &mut std::iter::empty());
        }
    }

    /// A call that was given up arrives after all.
    pub fn deliver_delayed(&mut self, place: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let sent = self.delayed.remove(place % self.delayed.len());
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
        self.pump(&mut std::iter::empty());
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

    /// A balancer takes over what is published.
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

    /// The agent takes over what is published.
    pub fn follow_agent(&mut self) {
        if let Some(revision) = self.published()
            && revision.number > self.agent.number
        {
            self.agent = revision;
        }
        self.tell_lowest();
    }

    pub fn published(&self) -> Option<Revision> {
        let (_, index) = self.store.now().index()?;
        let parts = self.store.now().parts();
        Some(index.assemble(&parts).expect("the published set is whole"))
    }

    /// An operator writes a draft as of what is there now, and gets its version.
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

    /// An operator removes a draft.
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
            panic!("an operator's write in between failed");
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
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
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
                    "said to be published, and is not"
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
            self.tell_lowest();
        }
    }

    fn tell_lowest(&mut self) {
        let balancers = self.nodes.iter().map(|node| node.in_force.number);
        let lowest = balancers.chain([self.agent.number]).min().unwrap_or(0);
        for node in 0..self.nodes.len() {
            self.feed(node, Event::LowestReported(lowest));
        }
    }

    fn pump(&mut self, faults: &mut dyn Iterator<Item = Fault>) {
        let mut steps = 0;
        while let Some(sent) = self.queue.pop_front() {
            steps += 1;
            assert!(steps < 2_000, "calls without end: {sent:?}");
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
            self.make(sent, fault);
            self.verify();
        }
    }

    fn make(&mut self, sent: Sent, fault: Fault) {
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

    /// Holds every state of the store that is new against the one before it.
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
            .expect("a whole set at any moment");
        let old = before.index();
        if old.as_ref().is_some_and(|(old, _)| *old == version) {
            return;
        }
        let old = old.map(|(_, index)| index).unwrap_or_default();
        let report = before.get(&Key::singleton(Kind::Report));
        let judged_in = report.and_then(|report| report.value["epoch"].as_u64());
        assert!(
            judged_in.is_none_or(|epoch| index.epoch >= epoch),
            "a lower epoch's write took effect after a higher one's verdict"
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

    /// The revision is what the drafts were when they had the version that it names.
    fn verify_drafts(&self, index: &Index, documents: &Documents) {
        let mut history = self.store.history.iter().rev();
        let drafts = history
            .find(|state| state.version(Kind::Draft) == index.drafts_version)
            .expect("the drafts had this version")
            .list(Kind::Draft);
        let expected = documents_of(&drafts).expect("they parse");
        assert_eq!(
            *documents, expected,
            "the revision is not what the drafts were"
        );
    }

    /// No address is known to live processes as two services'.
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

//! Failure detection, flap damping and selection of targets for routing in one process.
//!
//! Guards against verdicts without evidence (a lost heartbeat, a pause or isolation of the process
//! itself), against a dead target that keeps getting flows, and against a wrong suspicion that
//! takes most of a group out of service.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    DEAD_AFTER, DEAD_TTL, HEARTBEAT, ISOLATED_AFTER, PANIC_DEAD_TTL, SUSPECT_AFTER, TargetRecord,
    TargetState, TargetUpdate, VERDICTS_PER_TICK, Verdict, View,
};

/// Interval between ticks of the process.
const TICK: Millis = Millis(50);

/// Longest network partition of a region.
const LONGEST_PARTITION: Millis = Millis::from_secs(30 * 60);

fn record(number: u16, sequence: u64) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(&format!("desk-{number}")),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        agent: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        slots: 2,
        state: TargetState::Ready,
        incarnation: 1,
        sequence,
    }
}

fn in_state(state: TargetState, number: u16, sequence: u64) -> TargetRecord {
    TargetRecord {
        state,
        ..record(number, sequence)
    }
}

/// A process with its clock, its view and the verdicts to gossip.
struct Process {
    view: View,
    now: Millis,
    verdicts: Vec<TargetUpdate>,
}

impl Process {
    fn new() -> Self {
        Self {
            view: View::new(),
            now: Millis::ZERO,
            verdicts: Vec::new(),
        }
    }

    /// A process that just received a heartbeat of each of `count` ready targets.
    fn with_targets(count: u16) -> Self {
        let mut process = Self::new();
        process.view.on_tick(process.now);
        for number in 0..count {
            process.heartbeat(record(number, 1));
        }
        process
    }

    fn heartbeat(&mut self, record: TargetRecord) {
        self.view.on_heartbeat(self.now, record, false);
    }

    /// Advances the time while the agents in `alive` continue to report with sequence 1.
    fn pass(&mut self, span: Millis, alive: std::ops::Range<u16>) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            if self.now.0.is_multiple_of(HEARTBEAT.0) {
                for number in alive.clone() {
                    self.view.on_heartbeat(self.now, record(number, 1), false);
                }
            }
            // Messages of other balancers arrive all the time.
            self.view.on_contact(self.now);
            let verdicts = self.view.on_tick(self.now);
            self.verdicts.extend(verdicts);
        }
    }

    fn verdict(&self, number: u16) -> Option<Verdict> {
        let update = self.view.target(self.now, record(number, 1).id)?;
        Some(update.verdict)
    }

    fn served(&self, number: u16) -> Option<TargetState> {
        let id = record(number, 1).id;
        let records = self.view.records_for_routes(self.now);
        let found = records.iter().find(|record| record.id == id);
        found.map(|record| record.state)
    }

    fn ready(&self) -> usize {
        let records = self.view.records_for_routes(self.now);
        records
            .iter()
            .filter(|record| record.state.takes_new())
            .count()
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    late_record_does_not_overwrite_a_newer_one => {
        let mut process = Process::new();
        process.heartbeat(in_state(TargetState::Draining, 1, 5));
        process.heartbeat(in_state(TargetState::Ready, 1, 4));
        assert_eq!(process.served(1), Some(TargetState::Draining));
        let old = TargetUpdate::alive(record(1, 4));
        assert!(!process.view.merge_target(process.now, old));
        let restarted = TargetRecord { incarnation: 2, ..record(1, 1) };
        assert!(process.view.merge_target(process.now, TargetUpdate::alive(restarted)));
    };

    silent_target_is_suspect_and_then_dead_within_the_bounds => {
        let mut process = Process::with_targets(5);
        process.pass(SUSPECT_AFTER, 1..5);
        process.pass(TICK, 1..5);
        assert_eq!(process.verdict(0), Some(Verdict::Suspect));
        assert_eq!(process.verdicts.len(), 1, "the suspicion is gossiped once");
        assert_eq!(process.served(0), Some(TargetState::Draining));
        process.pass(DEAD_AFTER, 1..5);
        assert_eq!(process.verdict(0), Some(Verdict::Dead));
        assert_eq!(process.served(0), None);
        assert_eq!(process.ready(), 4);
    };

    one_lost_heartbeat_raises_no_suspicion => {
        let mut process = Process::with_targets(2);
        process.pass(Millis(HEARTBEAT.0 * 2), 1..2);
        assert_eq!(process.verdict(0), Some(Verdict::Alive));
        process.heartbeat(record(0, 1));
        process.pass(Millis(HEARTBEAT.0 * 2), 1..2);
        assert_eq!(process.verdict(0), Some(Verdict::Alive));
        assert!(process.verdicts.is_empty());
    };

    suspicion_is_refuted_by_a_higher_sequence_only => {
        let mut process = Process::with_targets(5);
        process.pass(SUSPECT_AFTER.after(TICK), 1..5);
        let same = process.view.on_heartbeat(process.now, record(0, 1), false);
        assert_eq!(same.refute_above, Some((1, 1)), "the agent is asked to refute");
        assert_eq!(process.verdict(0), Some(Verdict::Suspect));
        let higher = process.view.on_heartbeat(process.now, record(0, 2), false);
        assert_eq!((higher.is_update, higher.refute_above), (true, None));
        assert_eq!(process.served(0), Some(TargetState::Ready));
    };

    agent_whose_clock_went_back_may_refute_and_a_replaced_one_may_not => {
        let mut process = Process::new();
        process.heartbeat(TargetRecord { incarnation: 9, ..record(1, 3) });
        let back = process.view.on_heartbeat(process.now, record(1, 1), false);
        assert_eq!(back.refute_above, Some((9, 3)));
        let elsewhere = TargetRecord { agent: record(2, 1).agent, ..record(1, 1) };
        let replaced = process.view.on_heartbeat(process.now, elsewhere, false);
        assert_eq!(replaced.refute_above, None);
    };

    own_pause_raises_no_suspicion => {
        let mut process = Process::with_targets(5);
        process.pass(HEARTBEAT, 0..5);
        process.now = process.now.after(Millis::from_secs(60));
        process.view.on_contact(process.now);
        process.verdicts.extend(process.view.on_tick(process.now));
        process.pass(HEARTBEAT, 0..5);
        assert!(process.verdicts.is_empty(), "{:?}", process.verdicts);
        process.pass(SUSPECT_AFTER.after(TICK), 1..5);
        assert_eq!(process.verdict(0), Some(Verdict::Suspect), "silence after the pause counts");
    };

    isolated_process_reaches_no_verdict => {
        let mut process = Process::with_targets(5);
        let end = process.now.after(SUSPECT_AFTER).after(DEAD_AFTER).after(DEAD_AFTER);
        while process.now < end {
            process.now = process.now.after(TICK);
            assert!(process.view.on_tick(process.now).is_empty());
        }
        assert!(process.view.is_isolated(process.now));
        assert!(ISOLATED_AFTER < SUSPECT_AFTER, "isolation is detected first");
        assert_eq!(process.ready(), 5);
    };

    lost_rack_reaches_a_bounded_number_of_verdicts_a_tick => {
        let mut process = Process::with_targets(60);
        process.pass(Millis(SUSPECT_AFTER.0 - TICK.0), 40..60);
        assert!(process.verdicts.is_empty());
        let mut most = 0;
        for _ in 0..3 {
            let before = process.verdicts.len();
            process.pass(TICK, 40..60);
            most = most.max(process.verdicts.len() - before);
        }
        assert!(most <= VERDICTS_PER_TICK, "{most} verdicts in one tick");
        process.pass(TICK, 40..60);
        assert_eq!(process.view.counts().suspect, 40);
        process.pass(DEAD_AFTER.after(DEAD_AFTER), 40..60);
        assert_eq!(process.verdicts.iter().filter(|it| it.verdict == Verdict::Dead).count(), 40);
    };

    flapping_target_is_suppressed_until_it_is_stable => {
        let mut process = Process::with_targets(5);
        let mut sequence = 1;
        for _ in 0..3 {
            process.pass(HEARTBEAT, 1..5);
            process.heartbeat(in_state(TargetState::Starting, 0, sequence + 1));
            process.heartbeat(in_state(TargetState::Ready, 0, sequence + 2));
            sequence += 2;
        }
        assert_eq!(process.served(0), Some(TargetState::Starting), "three flaps are too many");
        assert_eq!(process.view.counts().flapping, 1);
        let before = process.view.changes();
        for _ in 0..60 {
            process.heartbeat(in_state(TargetState::Ready, 0, sequence));
            process.pass(HEARTBEAT, 1..5);
        }
        assert_eq!(process.served(0), Some(TargetState::Ready));
        assert!(process.view.changes() > before, "routes must be rebuilt");
    };

    crash_loop_counts_as_flapping_and_planned_drains_do_not => {
        let mut process = Process::with_targets(5);
        for incarnation in 2..6 {
            process.heartbeat(TargetRecord { incarnation, ..record(0, 1) });
            process.heartbeat(in_state(TargetState::Draining, 1, incarnation * 2));
            process.heartbeat(in_state(TargetState::Ready, 1, incarnation * 2 + 1));
        }
        assert_eq!(process.served(0), Some(TargetState::Starting));
        assert_eq!(process.served(1), Some(TargetState::Ready));
    };

    too_many_suspects_in_a_group_are_all_used => {
        let mut process = Process::with_targets(5);
        process.pass(SUSPECT_AFTER.after(TICK), 2..5);
        assert_eq!(process.ready(), 3, "two suspects of five get no new flows");
        let mut process = Process::with_targets(5);
        process.pass(SUSPECT_AFTER.after(TICK), 3..5);
        assert_eq!(process.view.counts().suspect, 3);
        assert_eq!(process.ready(), 5, "with three suspects of five, all are used");
    };

    dead_targets_are_used_only_if_no_other_is_left_and_for_a_limited_time => {
        let mut process = Process::with_targets(2);
        process.pass(SUSPECT_AFTER.after(DEAD_AFTER).after(HEARTBEAT), 0..0);
        assert_eq!(process.view.counts().dead, 2);
        assert_eq!(process.ready(), 2);
        let before = process.view.changes();
        process.pass(PANIC_DEAD_TTL, 0..0);
        assert_eq!(process.ready(), 0);
        assert!(process.view.changes() > before, "routes must be rebuilt");
    };

    draining_targets_cause_no_panic => {
        let mut process = Process::with_targets(4);
        for number in 0..3 {
            process.heartbeat(in_state(TargetState::Draining, number, 2));
        }
        assert_eq!(process.ready(), 1);
    };

    suspect_whose_reporters_died_with_it_is_declared_dead => {
        let mut process = Process::new();
        let suspect = TargetUpdate::alive(record(0, 1)).with_verdict(Verdict::Suspect);
        process.view.merge_target(process.now, suspect);
        process.pass(SUSPECT_AFTER.after(DEAD_AFTER).after(HEARTBEAT), 0..0);
        assert_eq!(process.verdict(0), Some(Verdict::Dead));
        assert!(process.verdicts.is_empty(), "every process reaches this verdict itself");
    };

    agent_that_reports_elsewhere_is_not_suspected => {
        let mut process = Process::with_targets(5);
        process.view.on_heartbeat(process.now, record(0, 1), true);
        process.pass(SUSPECT_AFTER.after(TICK), 2..5);
        assert_eq!(process.verdict(0), Some(Verdict::Alive), "it reports elsewhere");
        assert_eq!(process.verdict(1), Some(Verdict::Suspect));
        let elsewhere = TargetUpdate::alive(record(1, 2));
        assert!(process.view.merge_target(process.now, elsewhere));
        process.pass(SUSPECT_AFTER.after(TICK), 2..5);
        assert_eq!(process.verdict(1), Some(Verdict::Alive), "others receive its heartbeats");
    };

    old_record_does_not_come_back_during_the_ttl_of_the_dead => {
        let mut process = Process::with_targets(1);
        process.heartbeat(in_state(TargetState::Dead, 0, 2));
        let mut now = process.now;
        while now < LONGEST_PARTITION {
            now = now.after(Millis(900));
            process.view.on_contact(now);
            process.view.on_tick(now);
            assert!(!process.view.merge_target(now, TargetUpdate::alive(record(0, 1))));
        }
        while now < DEAD_TTL {
            now = now.after(Millis(900));
            process.view.on_tick(now);
        }
        assert_eq!(process.view.targets(now).count(), 0, "removed after the TTL");
    };

    death_learned_late_is_kept_only_for_the_rest_of_the_ttl => {
        let mut early = Process::with_targets(1);
        early.heartbeat(in_state(TargetState::Dead, 0, 2));
        let learned_at = Millis(DEAD_TTL.0 - 5_000);
        let learned = early.view.target(learned_at, record(0, 1).id).expect("within its TTL");
        assert_eq!(learned.gone_for, learned_at);
        let mut late = Process::new();
        assert!(late.view.merge_target(late.now, learned));
        late.pass(Millis(7_000), 0..0);
        assert_eq!(late.view.targets(late.now).count(), 0);
        let too_late = TargetUpdate { gone_for: DEAD_TTL, ..learned };
        assert!(!late.view.merge_target(late.now, too_late));
    };

    process_paused_for_too_long_clears_its_view => {
        let mut process = Process::with_targets(3);
        let later = process.now.after(Millis(DEAD_TTL.0 / 2));
        process.view.on_tick(later);
        assert_eq!(process.view.targets(later).count(), 0);
        assert_eq!(process.view.digests(), View::new().digests());
    };

    total_loss_is_rebuilt_within_one_heartbeat => {
        let mut process = Process::with_targets(30);
        process.heartbeat(in_state(TargetState::Draining, 7, 2));
        let before = process.view.records_for_routes(process.now);
        let digests = *process.view.digests();
        process.view = View::new();
        assert_ne!(*process.view.digests(), digests);
        for number in 0..30 {
            let again = if number == 7 {
                in_state(TargetState::Draining, 7, 2)
            } else {
                record(number, 1)
            };
            process.now = process.now.after(Millis(HEARTBEAT.0 / 30));
            process.heartbeat(again);
        }
        assert_eq!(process.view.records_for_routes(process.now), before);
        assert_eq!(*process.view.digests(), digests);
    };
}

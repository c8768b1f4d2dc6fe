//! Records in messages: lossless round trip, checks of each field, and the encoded size.
//!
//! Gossip is cut to a datagram by a budget of bytes per entry. If an entry were longer than the
//! budget assumes, messages would exceed the datagram and be lost.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId, GroupId, TargetId};
use citronhollow_core::members::{
    BalancerRecord, TargetRecord, TargetState, TargetUpdate, Verdict, VerdictUpdate,
};
use citronhollow_peer::message::{Gossip, Target};
use citronhollow_peer::{
    RecordError, balancer_from_message, balancer_to_message, target_from_message,
    target_to_message, verdict_from_message, verdict_to_message,
};
use prost::Message;

/// Wall-clock time in ms, from which incarnations are derived.
const INCARNATION: u64 = 1_800_000_000_000;

fn update(agent: &str, sequence: u64) -> TargetUpdate {
    TargetUpdate {
        record: TargetRecord {
            id: TargetId(u64::MAX),
            group: GroupId(u64::MAX - 1),
            domain: DomainId(u64::MAX - 2),
            agent: agent.parse().expect("address of the test"),
            slots: 400,
            state: TargetState::Draining,
            incarnation: INCARNATION,
            sequence,
        },
        verdict: Verdict::Dead,
        gone_for: Millis::from_secs(7_000),
    }
}

fn balancer(control: &str) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId(u64::MAX),
        domain: DomainId(u64::MAX - 1),
        control: control.parse::<SocketAddr>().expect("address of the test"),
        leaving: true,
        incarnation: INCARNATION,
        sequence: 100_000,
    }
}

/// Encoded size of a message with one entry, in bytes.
fn size(gossip: &Gossip) -> usize {
    gossip.encoded_len()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    records_round_trip => {
        for agent in ["10.0.0.1:9000", "[fd00::1]:9000"] {
            let target = update(agent, 3);
            assert_eq!(target_from_message(&target_to_message(&target)), Ok(target));
            let verdict = VerdictUpdate::from(target);
            assert_eq!(verdict_from_message(&verdict_to_message(&verdict)), Ok(verdict));
            let record = balancer(agent);
            assert_eq!(balancer_from_message(&balancer_to_message(&record)), Ok(record));
        }
    };

    invalid_field_is_reported => {
        let valid = target_to_message(&update("10.0.0.1:9000", 3));
        let state = Target { state: 9, ..valid.clone() };
        assert_eq!(target_from_message(&state), Err(RecordError::State(9)));
        let verdict = Target { verdict: 3, ..valid.clone() };
        assert_eq!(target_from_message(&verdict), Err(RecordError::Verdict(3)));
        let slots = Target { slots: 70_000, ..valid.clone() };
        assert_eq!(target_from_message(&slots), Err(RecordError::Slots(70_000)));
        let agent = Target { agent: vec![1, 2, 3], ..valid };
        assert!(matches!(target_from_message(&agent), Err(RecordError::Addr(_))));
    };

    entries_fit_their_size_budget => {
        let target = target_to_message(&update("[fd00::1]:9000", 1_000_000));
        let targets = Gossip { targets: vec![target], ..Gossip::default() };
        assert!(size(&targets) <= 80, "{}", size(&targets));
        let target = target_to_message(&TargetUpdate::alive(update("10.0.0.1:9000", 100).record));
        let targets = Gossip { targets: vec![target], ..Gossip::default() };
        assert!(size(&targets) <= 56, "{}", size(&targets));
        let verdict = verdict_to_message(&VerdictUpdate::from(update("10.0.0.1:9000", 1_000_000)));
        let verdicts = Gossip { verdicts: vec![verdict], ..Gossip::default() };
        assert!(size(&verdicts) <= 32, "{}", size(&verdicts));
        let suspect = update("10.0.0.1:9000", 100).with_verdict(Verdict::Suspect);
        let suspect = TargetUpdate { gone_for: Millis::ZERO, ..suspect };
        let verdict = verdict_to_message(&VerdictUpdate::from(suspect));
        let verdicts = Gossip { verdicts: vec![verdict], ..Gossip::default() };
        assert!(size(&verdicts) <= 26, "{}", size(&verdicts));
        let record = balancer_to_message(&balancer("[fd00::1]:9000"));
        let balancers = Gossip { balancers: vec![record], ..Gossip::default() };
        assert!(size(&balancers) <= 64, "{}", size(&balancers));
        let record = balancer_to_message(&balancer("10.0.0.1:9000"));
        let balancers = Gossip { balancers: vec![record], ..Gossip::default() };
        assert!(size(&balancers) <= 48, "{}", size(&balancers));
    };
}

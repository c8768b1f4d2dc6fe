//! Selection of the balancers that are polled for their lowest revision.
//!
//! Guards against polling a balancer too often, skipping one for long, and waiting for one that
//! does not answer.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::gossip::{POLL_AGAIN_AFTER, POLLS_UNANSWERED_MAX, Polls};
use citronhollow_core::id::{BalancerId, DomainId};
use citronhollow_core::members::BalancerRecord;

const NOW: Millis = Millis(1_000);

fn balancers(count: u16) -> Vec<BalancerRecord> {
    (1..=count)
        .map(|number| BalancerRecord {
            id: BalancerId(u64::from(number)),
            domain: DomainId::of("a"),
            control: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
            leaving: false,
            incarnation: 1,
            sequence: 1,
        })
        .collect()
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    no_balancer_is_polled_too_often => {
        let mut polls = Polls::default();
        let behind = balancers(5);
        assert_eq!(polls.due(NOW, behind.iter().copied(), 3).len(), 3);
        assert_eq!(polls.due(NOW, behind.iter().copied(), 3).len(), 2);
        assert!(polls.due(NOW, behind.iter().copied(), 3).is_empty());
        let later = NOW.after(POLL_AGAIN_AFTER);
        assert_eq!(polls.due(later, behind.iter().copied(), 9).len(), 5);
    };

    least_recently_polled_balancer_is_next => {
        let mut polls = Polls::default();
        let behind = balancers(3);
        let mut now = NOW;
        let mut order = Vec::new();
        for _ in 0..6 {
            let due = polls.due(now, behind.iter().copied(), 1);
            order.extend(due.iter().map(|record| record.id.0));
            now = now.after(POLL_AGAIN_AFTER);
        }
        assert_eq!(order, [1, 2, 3, 1, 2, 3]);
    };

    silent_balancer_stops_counting_until_it_answers => {
        let mut polls = Polls::default();
        let behind = balancers(1);
        let id = behind[0].id;
        let mut now = NOW;
        for _ in 0..POLLS_UNANSWERED_MAX {
            polls.due(now, behind.iter().copied(), 1);
            assert!(polls.is_answering(id));
            now = now.after(POLL_AGAIN_AFTER);
        }
        polls.due(now, behind.iter().copied(), 1);
        assert!(!polls.is_answering(id));
        polls.on_answer(id);
        assert!(polls.is_answering(id));
    };
}

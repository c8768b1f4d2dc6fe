//! Which revision the whole fleet has reached.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::id::{BalancerId, DomainId, TargetId};
use citronhollow_core::members::BalancerRecord;
use citronhollow_core::rumour::{Floor, Floors, POLL_AGAIN_AFTER, POLLS_UNANSWERED_MAX};

fn balancer(number: u16) -> BalancerRecord {
    BalancerRecord {
        id: BalancerId(u64::from(number)),
        domain: DomainId::of("a"),
        control: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        leaving: false,
        incarnation: 1,
        sequence: 1,
    }
}

fn floor(of_all: u64, of_answering: u64) -> Floor {
    Floor {
        of_all,
        of_answering,
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    slowest_agent_decides => {
        let mut floors = Floors::default();
        floors.on_agent(TargetId(1), 9);
        floors.on_agent(TargetId(2), 4);
        assert_eq!(floors.own(9), 4);
        floors.retain_agents(|id| id == TargetId(1));
        assert_eq!(floors.own(9), 9);
        assert_eq!(floors.own(3), 3, "the balancer itself counts");
    };

    balancer_that_never_answered_holds_the_floor_down => {
        let floors = Floors::default();
        let others = [balancer(1)];
        assert_eq!(floors.fleet(9, others.iter()), floor(0, 0));
    };

    silent_balancer_is_left_out_of_those_that_answer_only => {
        let mut floors = Floors::default();
        let others = [balancer(1), balancer(2)];
        let mut now = Millis(1_000);
        for _ in 0..=POLLS_UNANSWERED_MAX {
            for polled in floors.polls(now, 9, others.iter(), 2) {
                if polled.id == others[0].id {
                    floors.on_answer(polled.id, 9);
                }
            }
            now = now.after(POLL_AGAIN_AFTER);
        }
        assert_eq!(floors.fleet(9, others.iter()), floor(0, 9));
    };

    only_those_behind_are_polled_and_not_too_often => {
        let mut floors = Floors::default();
        let others: Vec<_> = (1..=5).map(balancer).collect();
        let now = Millis(1_000);
        assert_eq!(floors.polls(now, 9, others.iter(), 3).len(), 3);
        assert_eq!(floors.polls(now, 9, others.iter(), 3).len(), 2, "two were left");
        assert!(floors.polls(now, 9, others.iter(), 3).is_empty());
        floors.on_answer(others[0].id, 9);
        let later = now.after(POLL_AGAIN_AFTER);
        let polled = floors.polls(later, 9, others.iter(), 9);
        assert!(polled.iter().all(|record| record.id != others[0].id));
        assert_eq!(polled.len(), 4);
    };

    late_agent_lowers_the_floor_again => {
        let mut floors = Floors::default();
        let others = [balancer(1)];
        floors.on_answer(others[0].id, 9);
        assert_eq!(floors.fleet(9, others.iter()), floor(9, 9));
        floors.on_answer(others[0].id, 7);
        assert_eq!(floors.fleet(9, others.iter()), floor(7, 7));
    };
}

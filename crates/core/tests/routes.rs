//! A balancer's choice of a target.
//!
//! Guards against new flows at draining targets, hints that reach targets of another service, and
//! flows that move without need or without a candidate for their earlier target.

use std::net::SocketAddr;

use citronhollow_core::config::{Documents, Pool, Refusal, Revision, Service};
use citronhollow_core::error::ErrorKind;
use citronhollow_core::flow::{FlowId, Segment};
use citronhollow_core::id::{DomainId, GroupId, TargetId};
use citronhollow_core::members::{TargetRecord, TargetState};
use citronhollow_core::routes::Routes;

const SERVICE: &str = "10.1.0.1:443";

fn revision() -> Revision {
    Revision {
        number: 1,
        epoch: 1,
        documents: Documents {
            services: vec![Service {
                name: String::from("match-desk"),
                addresses: vec![addr(SERVICE)],
                pool: String::from("desk"),
                refusal: Refusal::Reset,
                new_flows_per_s: None,
                new_flows_per_s_per_caller: None,
                spill: citronhollow_core::config::Spill::Normal,
                requests: citronhollow_core::config::RequestClass::default(),
            }],
            pools: vec![Pool {
                name: String::from("desk"),
                groups: vec![String::from("desk")],
                flows_per_target: None,
            }],
            rules: Vec::new(),
        },
    }
}

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("address of the test")
}

fn target(number: u16, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: TargetId::of(&format!("desk-{number}")),
        group: GroupId::of("desk"),
        domain: DomainId::of("a"),
        agent: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        slots: 2,
        state,
        incarnation: 1,
        sequence: 1,
    }
}

fn flow(number: u16) -> FlowId {
    FlowId {
        caller: SocketAddr::from(([10, 9, 0, 1], 1_024 + number)),
        service: addr(SERVICE),
    }
}

const SYN: Segment = Segment {
    syn: true,
    ack: false,
    rst: false,
    fin: false,
    seq: 1,
    ack_seq: 0,
    payload: 0,
    echo: 0,
};

fn ongoing(echo: u32) -> Segment {
    Segment {
        ack: true,
        syn: false,
        echo,
        ..SYN
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    unknown_destination_is_rejected => {
        let routes = Routes::build(&revision(), &[target(1, TargetState::Ready)], None);
        let other = FlowId { service: addr("10.1.0.2:443"), ..flow(1) };
        assert_eq!(routes.choose(&other, &SYN), Err(ErrorKind::UnknownService));
    };

    draining_target_gets_no_syn => {
        let targets = [target(1, TargetState::Draining), target(2, TargetState::Ready)];
        let routes = Routes::build(&revision(), &targets, None);
        for number in 0..500 {
            let choice = routes.choose(&flow(number), &SYN).expect("a ready target");
            assert_eq!(routes.target(choice.target).id, targets[1].id);
            let candidates: Vec<_> = choice.candidates().map(|key| routes.target(key).id).collect();
            assert_eq!(candidates, [targets[0].id], "the draining target may hold the flow");
        }
    };

    agents_decide_if_no_target_is_known_to_be_ready => {
        let targets = [target(1, TargetState::Draining)];
        let routes = Routes::build(&revision(), &targets, None);
        for segment in [SYN, ongoing(0)] {
            let choice = routes.choose(&flow(1), &segment).expect("an agent");
            assert_eq!(routes.target(choice.target).id, targets[0].id);
        }
    };

    pool_without_agents_is_an_error => {
        let gone = [target(1, TargetState::Dead)];
        for targets in [&gone[..], &[]] {
            let routes = Routes::build(&revision(), targets, None);
            assert_eq!(routes.choose(&flow(1), &SYN), Err(ErrorKind::NoTarget));
            assert_eq!(routes.choose(&flow(1), &ongoing(0)), Err(ErrorKind::NoTarget));
        }
    };

    hint_selects_the_target_that_holds_the_flow => {
        let targets: Vec<_> = (1..6).map(|n| target(n, TargetState::Ready)).collect();
        let routes = Routes::build(&revision(), &targets, None);
        for holder in &targets {
            let choice = routes.choose(&flow(1), &ongoing(holder.id.hint())).expect("a choice");
            assert!(choice.hinted);
            assert_eq!(routes.target(choice.target).id, holder.id);
        }
    };

    hint_outside_the_service_is_ignored => {
        let routes = Routes::build(&revision(), &[target(1, TargetState::Ready)], None);
        let foreign = TargetId::of("order-1").hint();
        let choice = routes.choose(&flow(1), &ongoing(foreign)).expect("a choice");
        assert!(!choice.hinted);
    };

    join_moves_only_its_share_and_keeps_the_earlier_owner_as_a_candidate => {
        let before: Vec<_> = (1..6).map(|n| target(n, TargetState::Ready)).collect();
        let mut after = before.clone();
        after.push(target(6, TargetState::Ready));
        let old = Routes::build(&revision(), &before, None);
        let new = Routes::build(&revision(), &after, Some(&old));
        let mut moved = 0;
        for number in 0..2_000 {
            let was = old.choose(&flow(number), &SYN).expect("a choice");
            let is = new.choose(&flow(number), &SYN).expect("a choice");
            let was = old.target(was.target).id;
            if new.target(is.target).id != was {
                moved += 1;
                let next = is.candidates().next().expect("an earlier owner");
                assert_eq!(new.target(next).id, was);
            }
        }
        assert!((200..500).contains(&moved), "{moved} of 2000 moved, a sixth is expected");
    };
}

//! Validation of a set of documents, the plan of changes, and the subset for one group.
//!
//! The tests guard against publishing a set that cannot be served, and against rejecting a valid
//! one. Such a set comes about by a typing error, a reference to a removed document, or an address
//! that moves between services.

use std::net::SocketAddr;

use citronhollow_core::clock::Millis;
use citronhollow_core::config::{
    Action, CheckError, DocumentKind, Documents, HeldAddress, Pool, Problem, Refusal, Revision,
    Rule, Service, check, colliding, plan,
};
use citronhollow_core::id::GroupId;

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("address of the test")
}

fn service(name: &str, address: &str, pool: &str) -> Service {
    Service {
        name: String::from(name),
        addresses: vec![addr(address)],
        pool: String::from(pool),
        refusal: Refusal::Reset,
        new_flows_per_s: None,
        new_flows_per_s_per_caller: None,
        spill: citronhollow_core::config::Spill::Normal,
        requests: citronhollow_core::config::RequestClass::default(),
    }
}

fn pool(name: &str, group: &str) -> Pool {
    Pool {
        name: String::from(name),
        groups: vec![String::from(group)],
        flows_per_target: None,
    }
}

fn rule(name: &str, service: &str, pool: &str, percent: u8) -> Rule {
    Rule {
        name: String::from(name),
        service: String::from(service),
        pool: String::from(pool),
        percent,
    }
}

/// Two services, three pools and a rule, without errors.
fn valid() -> Documents {
    Documents {
        services: vec![
            service("match-desk", "10.1.0.1:443", "desk"),
            service("draw-office", "10.1.0.2:443", "draw"),
        ],
        pools: vec![
            pool("desk", "desk"),
            pool("desk-next", "desk-next"),
            pool("draw", "draw"),
        ],
        rules: vec![rule("canary", "match-desk", "desk-next", 5)],
    }
}

fn name(text: &str) -> String {
    String::from(text)
}

/// Kind and name of the document, field and problem that a test expects of one error.
type Expected = (DocumentKind, &'static str, &'static str, Problem);

fn assert_errors(documents: &Documents, held: &[HeldAddress], expected: &[Expected]) {
    let errors = check(documents, held);
    let found: Vec<_> = errors
        .iter()
        .map(|error| {
            let object = &error.object;
            (
                object.kind,
                object.name.as_str(),
                error.field.as_str(),
                &error.problem,
            )
        })
        .collect();
    let expected: Vec<_> = expected
        .iter()
        .map(|(kind, name, field, problem)| (*kind, *name, *field, problem))
        .collect();
    assert_eq!(found, expected);
    for error in &errors {
        assert_text(error);
    }
}

/// Asserts that the text names the object, the field and the remedy.
fn assert_text(error: &CheckError) {
    let text = error.to_string();
    assert!(
        text.starts_with(&format!("{}, {}: ", error.object, error.field)),
        "{text}"
    );
    assert!(!error.remedy.is_empty());
    assert!(text.ends_with(&error.remedy), "{text}");
}

/// Each case applies one change to the valid set and lists all errors that result.
macro_rules! errors {
    ($($name:ident: $change:expr => [$($kind:ident $object:literal $field:literal $problem:expr),*];)*) => {
        $(#[test] fn $name() {
            let mut documents = valid();
            let change: fn(&mut Documents) = $change;
            change(&mut documents);
            assert_errors(&documents, &[], &[$((DocumentKind::$kind, $object, $field, $problem)),*]);
        })*
    };
}

errors! {
    valid_set_has_none: |_| {} => [];

    name_with_capitals: |set| set.rules[0].name = name("Canary")
        => [Rule "Canary" "name" Problem::BadName(name("Canary"))];
    name_empty: |set| set.rules[0].name = name("")
        => [Rule "" "name" Problem::BadName(name(""))];
    name_with_trailing_hyphen: |set| set.rules[0].name = name("canary-")
        => [Rule "canary-" "name" Problem::BadName(name("canary-"))];
    name_with_path_traversal: |set| set.rules[0].name = name("../x")
        => [Rule "../x" "name" Problem::BadName(name("../x"))];
    name_of_63_letters_passes: |set| set.rules[0].name = "a".repeat(63) => [];
    name_of_64_letters: |set| set.rules[0].name = "a".repeat(64)
        => [Rule "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" "name"
            Problem::BadName("a".repeat(64))];
    group_with_bad_name: |set| set.pools[0].groups[0] = name("de sk")
        => [Pool "desk" "groups" Problem::BadName(name("de sk"))];

    duplicate_service: |set| set.services.push(service("match-desk", "10.1.0.3:443", "desk"))
        => [Service "match-desk" "name" Problem::DuplicateName(DocumentKind::Service)];
    duplicate_pool: |set| set.pools.push(pool("draw", "draw"))
        => [Pool "draw" "name" Problem::DuplicateName(DocumentKind::Pool)];
    duplicate_rule: |set| set.rules.push(rule("canary", "draw-office", "draw", 1))
        => [Rule "canary" "name" Problem::DuplicateName(DocumentKind::Rule)];
    same_name_in_two_kinds_passes: |set| set.pools.push(pool("canary", "desk")) => [];

    service_without_address: |set| set.services[0].addresses.clear()
        => [Service "match-desk" "addresses" Problem::NoAddress];
    service_with_too_many_addresses: |set| {
        set.services[0].addresses = (1..=65).map(|port| SocketAddr::from(([10, 1, 1, 1], port))).collect();
    } => [Service "match-desk" "addresses" Problem::TooMany { count: 65, limit: 64 }];
    address_without_port: |set| set.services[0].addresses[0] = addr("10.1.0.1:0")
        => [Service "match-desk" "addresses" Problem::UnusableAddress(addr("10.1.0.1:0"))];
    address_unspecified: |set| set.services[0].addresses[0] = addr("0.0.0.0:443")
        => [Service "match-desk" "addresses" Problem::UnusableAddress(addr("0.0.0.0:443"))];
    address_multicast: |set| set.services[0].addresses[0] = addr("[ff02::1]:443")
        => [Service "match-desk" "addresses" Problem::UnusableAddress(addr("[ff02::1]:443"))];
    address_of_ipv4_written_as_ipv6: |set| set.services[0].addresses[0] = addr("[::ffff:10.1.0.2]:443")
        => [Service "match-desk" "addresses" Problem::UnusableAddress(addr("[::ffff:10.1.0.2]:443"))];
    address_twice_in_one_service: |set| set.services[0].addresses.push(addr("10.1.0.1:443"))
        => [Service "match-desk" "addresses" Problem::DuplicateAddress(addr("10.1.0.1:443"))];
    address_of_two_services: |set| set.services[1].addresses[0] = addr("10.1.0.1:443")
        => [Service "draw-office" "addresses" Problem::SharedAddress {
            address: addr("10.1.0.1:443"), service: name("match-desk"),
        }];
    same_ip_with_other_port_passes: |set| set.services[1].addresses[0] = addr("10.1.0.1:444") => [];

    service_without_its_pool: |set| set.services[1].pool = name("gone")
        => [Service "draw-office" "pool" Problem::Dangling { kind: DocumentKind::Pool, name: name("gone") }];
    rule_without_its_service: |set| set.rules[0].service = name("gone")
        => [Rule "canary" "service" Problem::Dangling { kind: DocumentKind::Service, name: name("gone") }];
    rule_without_its_pool: |set| set.rules[0].pool = name("gone")
        => [Rule "canary" "pool" Problem::Dangling { kind: DocumentKind::Pool, name: name("gone") }];

    pool_without_group: |set| set.pools[0].groups.clear()
        => [Pool "desk" "groups" Problem::NoGroup];
    pool_with_duplicate_group: |set| set.pools[0].groups.push(name("desk"))
        => [Pool "desk" "groups" Problem::DuplicateGroup(name("desk"))];
    pool_with_too_many_groups: |set| set.pools[0].groups = (0..65).map(|number| format!("g{number}")).collect()
        => [Pool "desk" "groups" Problem::TooMany { count: 65, limit: 64 }];

    percent_of_zero: |set| set.rules[0].percent = 0
        => [Rule "canary" "percent" Problem::BadPercent(0)];
    percent_of_101: |set| set.rules[0].percent = 101
        => [Rule "canary" "percent" Problem::BadPercent(101),
            Rule "canary" "percent" Problem::PercentSum { service: name("match-desk"), total: 101 }];
    percents_above_100_in_total: |set| set.rules.push(rule("second", "match-desk", "desk", 96))
        => [Rule "canary" "percent" Problem::PercentSum { service: name("match-desk"), total: 101 },
            Rule "second" "percent" Problem::PercentSum { service: name("match-desk"), total: 101 }];
    percents_of_100_in_total_pass: |set| set.rules.push(rule("second", "match-desk", "desk", 95)) => [];
    percents_of_two_services_pass: |set| set.rules.push(rule("second", "draw-office", "draw", 100)) => [];

    flow_limit_of_zero: |set| set.pools[0].flows_per_target = Some(0)
        => [Pool "desk" "flows_per_target" Problem::BadLimit(0)];
    service_limit_of_zero: |set| set.services[0].new_flows_per_s = Some(0)
        => [Service "match-desk" "new_flows_per_s" Problem::BadLimit(0)];
    caller_limit_too_large: |set| set.services[0].new_flows_per_s_per_caller = Some(10_000_001)
        => [Service "match-desk" "new_flows_per_s_per_caller" Problem::BadLimit(10_000_001)];
    caller_limit_above_the_service: |set| {
        set.services[0].new_flows_per_s = Some(10);
        set.services[0].new_flows_per_s_per_caller = Some(11);
    } => [Service "match-desk" "new_flows_per_s_per_caller" Problem::CallerLimitAboveService {
        per_caller: 11, service: 10,
    }];

    objective_of_zero: |set| set.services[0].requests.objective_ms = Millis::ZERO
        => [Service "match-desk" "requests.objective_ms" Problem::BadTime(Millis::ZERO)];
    time_limit_too_long: |set| set.services[0].requests.time_limit_ms = Millis::from_secs(601)
        => [Service "match-desk" "requests.time_limit_ms" Problem::BadTime(Millis::from_secs(601))];
    objective_above_the_time_limit: |set| set.services[0].requests.objective_ms = Millis(2_001)
        => [Service "match-desk" "requests.objective_ms" Problem::ObjectiveAboveTimeLimit {
            objective: Millis(2_001), time_limit: Millis(2_000),
        }];
    priority_above_the_least_urgent: |set| set.services[0].requests.priority = 10
        => [Service "match-desk" "requests.priority" Problem::BadPriority(10)];

    every_error_at_once: |set| {
        set.services[0].pool = name("gone");
        set.services[1].addresses[0] = addr("10.1.0.1:443");
        set.pools[1].groups.clear();
        set.rules[0].percent = 0;
    } => [
        Service "draw-office" "addresses" Problem::SharedAddress {
            address: addr("10.1.0.1:443"), service: name("match-desk"),
        },
        Service "match-desk" "pool" Problem::Dangling { kind: DocumentKind::Pool, name: name("gone") },
        Pool "desk-next" "groups" Problem::NoGroup,
        Rule "canary" "percent" Problem::BadPercent(0)
    ];
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    held_address_is_refused_to_another_service_only => {
        let held = |service: &str| HeldAddress {
            address: addr("10.1.0.1:443"),
            service: name(service),
        };
        assert_errors(&valid(), &[held("match-desk")], &[]);
        assert_errors(&valid(), &[held("order-tracking")], &[(
            DocumentKind::Service,
            "match-desk",
            "addresses",
            Problem::HeldAddress { address: addr("10.1.0.1:443"), service: name("order-tracking") },
        )]);
    };

    too_many_documents_are_refused => {
        let mut documents = valid();
        let more = (0..8_000).map(|number| pool(&format!("p{number}"), "desk"));
        documents.pools.extend(more);
        let problem = Problem::TooMany { count: 8_006, limit: 8_000 };
        assert_errors(&documents, &[], &[(DocumentKind::Pool, "p7999", "documents", problem)]);
    };

    names_with_one_identity_are_paired => {
        let by_length = |name: &str| name.len() as u64;
        let pairs = colliding(["ab", "cd", "ab", "xyz"].into_iter(), by_length);
        assert_eq!(pairs, [("cd", "ab")]);
    };

    unknown_field_is_refused => {
        let text = r#"{"services": [{"name": "a", "addresses": [], "pool": "p", "colour": 1}]}"#;
        let error = serde_json::from_str::<Documents>(text).expect_err("an unknown field");
        assert!(error.to_string().contains("colour"), "{error}");
    };

    plan_lists_every_change_with_its_fields => {
        let mut new = valid();
        new.rules.clear();
        new.pools.push(pool("order", "order"));
        new.services[1].new_flows_per_s = Some(100);
        new.services[1].pool = name("order");
        let lines: Vec<String> = plan(&valid(), &new).iter().map(ToString::to_string).collect();
        assert_eq!(lines, [
            "service draw-office: change new_flows_per_s, pool",
            "pool order: add",
            "rule canary: remove",
        ]);
    };

    plan_without_changes_is_empty => {
        let mut reordered = valid();
        reordered.pools.reverse();
        assert_eq!(plan(&valid(), &reordered), []);
    };

    plan_of_an_empty_set_adds_everything => {
        let changes = plan(&Documents::default(), &valid());
        assert_eq!(changes.len(), 6);
        assert!(changes.iter().all(|change| change.action == Action::Add));
    };

    subset_has_the_services_of_the_group_and_all_their_pools => {
        let revision = Revision { number: 7, epoch: 2, documents: valid() };
        let subset = revision.subset_for(GroupId::of("desk-next"));
        assert_eq!((subset.number, subset.epoch), (7, 2));
        assert_eq!(subset.documents.services, valid().services[..1]);
        assert_eq!(subset.documents.pools, valid().pools[..2]);
        assert_eq!(subset.documents.rules, valid().rules);
        assert!(check(&subset.documents, &[]).is_empty(), "a subset is consistent by itself");
    };

    subset_for_an_unknown_group_is_empty => {
        let revision = Revision { number: 7, epoch: 2, documents: valid() };
        assert_eq!(revision.subset_for(GroupId::of("nobody")).documents, Documents::default());
    };
}

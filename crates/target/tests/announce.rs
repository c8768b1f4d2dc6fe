//! Validation of announcements and expiry of their leases.
//!
//! Guards against a target that keeps its state after it stopped announcing, and against invalid
//! announcements that are accepted or rejected without naming the field.

use std::sync::Arc;
use std::time::{Duration, Instant};

use citronhollow_core::members::TargetState;
use citronhollow_target::announce::{
    AnnounceError, Announced, AnnouncedState, DEAD_AFTER_LAPSE, LEASE, parse,
};

const VALID: &str = r#"{"group":"desk","address":"127.0.0.1:80","slots":2,"state":"ready"}"#;

fn announced(at: Instant) -> Arc<Announced> {
    let announcement = parse(VALID.as_bytes()).expect("a valid announcement");
    Arc::new(Announced { announcement, at })
}

fn refused(old: &str, new: &str) -> AnnounceError {
    let body = VALID.replace(old, new);
    assert_ne!(body, VALID);
    parse(body.as_bytes()).expect_err("an invalid announcement")
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    lapsed_lease_drains_and_then_is_dead => {
        let at = Instant::now();
        let announced = announced(at);
        let state_after = |span: u64| announced.state_at(at + Duration::from_millis(span));
        let death = LEASE.after(DEAD_AFTER_LAPSE);
        assert_eq!(state_after(0), TargetState::Ready);
        assert_eq!(state_after(LEASE.0 - 1), TargetState::Ready);
        assert_eq!(state_after(LEASE.0), TargetState::Draining);
        assert_eq!(state_after(death.0 - 1), TargetState::Draining);
        assert_eq!(state_after(death.0), TargetState::Dead);
    };

    every_state_but_dead_can_be_announced => {
        for (text, state) in [
            ("starting", AnnouncedState::Starting),
            ("ready", AnnouncedState::Ready),
            ("draining", AnnouncedState::Draining),
        ] {
            let body = VALID.replace("ready", text);
            let announcement = parse(body.as_bytes()).expect("a valid announcement");
            assert_eq!(announcement.state, state);
        }
        assert!(refused("ready", "dead").to_string().contains("dead"));
    };

    refusals_name_the_field => {
        assert!(refused("\"desk\"", "\"\"").to_string().contains("group"));
        assert!(refused(":80", ":0").to_string().contains("address"));
        assert!(refused("127.0.0.1", "0.0.0.0").to_string().contains("address"));
        assert!(refused("2", "0").to_string().contains("slots"));
        assert!(refused("slots", "slot").to_string().contains("slot"));
        let long = format!("{VALID}{}", " ".repeat(8_192));
        assert!(matches!(parse(long.as_bytes()), Err(AnnounceError::Length(_))));
    };
}

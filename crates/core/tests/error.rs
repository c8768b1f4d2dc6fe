//! The table from error kinds to responses.
//!
//! The tests guard against a new kind that is missing in [`ErrorKind::ALL`], and against statuses,
//! exit codes or texts that clients cannot interpret.

use std::collections::HashSet;

use citronhollow_core::error::{ErrorKind, FlowAnswer};

/// Returns the index of a kind in [`ErrorKind::ALL`]. The match is exhaustive, so a new kind does not
/// compile until it has an index.
const fn index_of(kind: ErrorKind) -> usize {
    match kind {
        ErrorKind::UnknownService => 0,
        ErrorKind::NoTarget => 1,
        ErrorKind::Overloaded => 2,
        ErrorKind::RateLimited => 3,
        ErrorKind::UnknownFlow => 4,
        ErrorKind::TargetUnreachable => 5,
        ErrorKind::Invalid => 6,
        ErrorKind::Conflict => 7,
        ErrorKind::NotFound => 8,
        ErrorKind::PlatformUnavailable => 9,
        ErrorKind::Unauthorized => 10,
        ErrorKind::Timeout => 11,
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    list_has_every_kind => {
        for (i, kind) in ErrorKind::ALL.into_iter().enumerate() {
            assert_eq!(index_of(kind), i, "{kind:?}");
        }
    };

    every_status_is_an_error => {
        for kind in ErrorKind::ALL {
            assert!((400..600).contains(&kind.answer().status), "{kind:?}");
        }
    };

    every_exit_code_is_a_failure_and_no_shell_code => {
        for kind in ErrorKind::ALL {
            assert!((2..64).contains(&kind.answer().exit), "{kind:?}");
        }
    };

    only_a_flow_of_a_known_service_is_answered => {
        let dropped = ErrorKind::ALL
            .into_iter()
            .filter(|kind| kind.answer().flow == FlowAnswer::Drop);
        let expected = [
            ErrorKind::UnknownService,
            ErrorKind::Invalid,
            ErrorKind::Conflict,
            ErrorKind::NotFound,
            ErrorKind::PlatformUnavailable,
            ErrorKind::Unauthorized,
            ErrorKind::Timeout,
        ];
        assert_eq!(dropped.collect::<Vec<_>>(), expected);
    };

    texts_and_names_are_unique => {
        let texts: HashSet<_> = ErrorKind::ALL.iter().map(ToString::to_string).collect();
        assert_eq!(texts.len(), ErrorKind::ALL.len());
        let names: HashSet<_> = ErrorKind::ALL
            .iter()
            .map(|kind| serde_json::to_string(kind).expect("a name"))
            .collect();
        assert_eq!(names.len(), ErrorKind::ALL.len());
    };
}

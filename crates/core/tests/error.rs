//! The table from kind of error to answer.

use std::collections::HashSet;

use citronhollow_core::error::{ErrorKind, FlowAnswer};

/// Place of a kind in [`ErrorKind::ALL`]. A kind that is added does not compile without one.
const fn place(kind: ErrorKind) -> usize {
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
    list_is_total => {
        for (i, kind) in ErrorKind::ALL.into_iter().enumerate() {
            assert_eq!(place(kind), i, "{kind:?}");
        }
    };

    every_status_is_an_error => {
        for kind in ErrorKind::ALL {
            assert!((400..600).contains(&kind.answer().status), "{kind:?}");
        }
    };

    every_exit_code_says_failure_and_is_no_shell_code => {
        for kind in ErrorKind::ALL {
            assert!((2..64).contains(&kind.answer().exit), "{kind:?}");
        }
    };

    only_a_flow_of_a_known_service_is_answered => {
        let silent = ErrorKind::ALL
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
        assert_eq!(silent.collect::<Vec<_>>(), expected);
    };

    sentences_and_names_differ => {
        let sentences: HashSet<_> = ErrorKind::ALL.iter().map(ToString::to_string).collect();
        assert_eq!(sentences.len(), ErrorKind::ALL.len());
        let names: HashSet<_> = ErrorKind::ALL
            .iter()
            .map(|kind| serde_json::to_string(kind).expect("a name"))
            .collect();
        assert_eq!(names.len(), ErrorKind::ALL.len());
    };
}

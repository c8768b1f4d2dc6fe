//! A conditional write and the answers that it may meet.

use citronhollow_core::publisher::{Answer, Call, Key, Kind, Object, Stamp, Step, Write};
use serde_json::{Value, json};

const IF_VERSION: u64 = 7;

fn value(writer: &str, sequence: u64) -> Value {
    json!({"stamp": {"writer": writer, "sequence": sequence}})
}

/// What a read shows.
fn shows(version: u64, writer: &str, sequence: u64) -> Answer {
    Answer::Object(Some(Object {
        name: String::from("citronhollow"),
        version,
        value: value(writer, sequence),
    }))
}

fn conflict(version: u64) -> Answer {
    Answer::Conflict { version }
}

/// What the write does with an answer.
#[derive(Debug, Eq, PartialEq)]
enum Then {
    /// It is done as this version.
    Done(u64),
    /// Somebody else came first.
    Overtaken,
    /// It puts, at once or after a while.
    Puts,
    /// It reads, at once or after a while.
    Reads,
    Refused,
}

fn then(write: &mut Write, answer: Answer) -> Then {
    match write.on_answer(answer) {
        Step::Done { version } => Then::Done(version),
        Step::Overtaken(_) => Then::Overtaken,
        Step::Refused => Then::Refused,
        Step::Next | Step::Wait => match write.call() {
            Call::Put { if_version, .. } => {
                assert_eq!(if_version, IF_VERSION, "the condition never changes");
                Then::Puts
            }
            Call::Get(_) => Then::Reads,
            call => panic!("{call:?}"),
        },
    }
}

macro_rules! answers {
    ($($name:ident: [$($answer:expr => $then:expr),*];)*) => {
        $(#[test] fn $name() {
            let stamp = Stamp { writer: String::from("me"), sequence: 3 };
            let key = Key::singleton(Kind::Published);
            let mut write = Write::new(key, IF_VERSION, value("me", 3), stamp);
            $(assert_eq!(then(&mut write, $answer), $then);)*
        })*
    };
}

answers! {
    written: [Answer::Written { version: 9 } => Then::Done(9)];
    not_run_is_put_again: [Answer::NotRun => Then::Puts, Answer::Written { version: 9 } => Then::Done(9)];
    refused: [Answer::Refused => Then::Refused];

    lost_answer_is_recognised: [Answer::Lost => Then::Reads, shows(9, "me", 3) => Then::Done(9)];
    lost_request_is_put_again: [
        Answer::Lost => Then::Reads, shows(7, "other", 1) => Then::Puts,
        Answer::Written { version: 9 } => Then::Done(9)
    ];
    delayed_request_is_recognised_by_its_copy: [
        Answer::Lost => Then::Reads, shows(7, "other", 1) => Then::Puts,
        conflict(9) => Then::Reads, shows(9, "me", 3) => Then::Done(9)
    ];
    stale_read_back_proves_nothing: [
        Answer::Lost => Then::Reads, shows(4, "other", 1) => Then::Puts,
        conflict(9) => Then::Reads, shows(4, "other", 1) => Then::Puts,
        conflict(9) => Then::Reads, shows(9, "me", 3) => Then::Done(9)
    ];
    lost_read_back_is_read_again: [
        Answer::Lost => Then::Reads, Answer::Lost => Then::Reads, Answer::NotRun => Then::Reads,
        shows(9, "me", 3) => Then::Done(9)
    ];

    conflict_with_another: [conflict(9) => Then::Reads, shows(9, "other", 3) => Then::Overtaken];
    earlier_write_of_mine_is_not_this_one: [
        conflict(9) => Then::Reads, shows(9, "me", 2) => Then::Overtaken
    ];
    removed_object_is_overtaken: [conflict(0) => Then::Overtaken];
    conflict_without_cause_is_put_again: [
        conflict(7) => Then::Reads, shows(7, "other", 1) => Then::Puts
    ];
}

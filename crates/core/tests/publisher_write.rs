//! A conditional write and its reaction to every kind of answer.
//!
//! The tests guard against a wrong outcome: a write that took effect and is reported as overtaken,
//! or the reverse. This comes about if an answer is lost, a request is delayed, or a read is stale.

use citronhollow_core::publisher::{Answer, Call, Key, Kind, Object, Stamp, Step, Write};
use serde_json::{Value, json};

const IF_VERSION: u64 = 7;

fn value(writer: &str, sequence: u64) -> Value {
    json!({"stamp": {"writer": writer, "sequence": sequence}})
}

/// A read that returns a value with this stamp.
fn read(version: u64, writer: &str, sequence: u64) -> Answer {
    Answer::Object(Some(Object {
        name: String::from("citronhollow"),
        version,
        value: value(writer, sequence),
    }))
}

fn conflict(version: u64) -> Answer {
    Answer::Conflict { version }
}

/// Reaction of the write to an answer.
#[derive(Debug, Eq, PartialEq)]
enum Reaction {
    /// The write took effect as this version.
    Done(u64),
    /// Another write came first.
    Overtaken,
    /// The next call writes the object, at once or after a delay.
    Puts,
    /// The next call reads the object back, at once or after a delay.
    Reads,
    Refused,
}

fn reaction(write: &mut Write, answer: Answer) -> Reaction {
    match write.on_answer(answer) {
        Step::Done { version } => Reaction::Done(version),
        Step::Overtaken(_) => Reaction::Overtaken,
        Step::Refused => Reaction::Refused,
        Step::Next | Step::Wait => match write.call() {
            Call::Put { if_version, .. } => {
                assert_eq!(if_version, IF_VERSION, "the condition never changes");
                Reaction::Puts
            }
            Call::Get(_) => Reaction::Reads,
            call => panic!("{call:?}"),
        },
    }
}

macro_rules! answers {
    ($($name:ident: [$($answer:expr => $reaction:expr),*];)*) => {
        $(#[test] fn $name() {
            let stamp = Stamp { writer: String::from("me"), sequence: 3 };
            let key = Key::singleton(Kind::Published);
            let mut write = Write::new(key, IF_VERSION, value("me", 3), stamp);
            $(assert_eq!(reaction(&mut write, $answer), $reaction);)*
        })*
    };
}

answers! {
    written: [Answer::Written { version: 9 } => Reaction::Done(9)];
    call_that_was_not_run_is_sent_again: [
        Answer::NotRun => Reaction::Puts, Answer::Written { version: 9 } => Reaction::Done(9)
    ];
    refused: [Answer::Refused => Reaction::Refused];

    write_with_lost_answer_is_recognized: [
        Answer::Lost => Reaction::Reads, read(9, "me", 3) => Reaction::Done(9)
    ];
    lost_request_is_sent_again: [
        Answer::Lost => Reaction::Reads, read(7, "other", 1) => Reaction::Puts,
        Answer::Written { version: 9 } => Reaction::Done(9)
    ];
    delayed_request_is_recognized_after_a_retry: [
        Answer::Lost => Reaction::Reads, read(7, "other", 1) => Reaction::Puts,
        conflict(9) => Reaction::Reads, read(9, "me", 3) => Reaction::Done(9)
    ];
    stale_read_back_proves_nothing: [
        Answer::Lost => Reaction::Reads, read(4, "other", 1) => Reaction::Puts,
        conflict(9) => Reaction::Reads, read(4, "other", 1) => Reaction::Puts,
        conflict(9) => Reaction::Reads, read(9, "me", 3) => Reaction::Done(9)
    ];
    lost_read_back_is_repeated: [
        Answer::Lost => Reaction::Reads, Answer::Lost => Reaction::Reads,
        Answer::NotRun => Reaction::Reads,
        read(9, "me", 3) => Reaction::Done(9)
    ];

    conflict_with_another_writer: [
        conflict(9) => Reaction::Reads, read(9, "other", 3) => Reaction::Overtaken
    ];
    earlier_write_of_the_same_writer_is_another_write: [
        conflict(9) => Reaction::Reads, read(9, "me", 2) => Reaction::Overtaken
    ];
    removed_object_is_overtaken: [conflict(0) => Reaction::Overtaken];
    spurious_conflict_is_sent_again: [
        conflict(7) => Reaction::Reads, read(7, "other", 1) => Reaction::Puts
    ];
}

//! Format of the log, and suppression of repeated messages.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use citronhollow_core::clock::Millis;
use citronhollow_operator::logging::Logger;
use citronhollow_operator::repeats::RepeatLimiter;
use log::{Level, Log, Record};

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("lines").clone()).expect("text")
    }
}

fn log_from(module: &str, sentences: &[&str]) -> String {
    let lines = Lines::default();
    let logger = Logger::new(lines.clone());
    for sentence in sentences {
        let mut record = Record::builder();
        record.level(Level::Warn).target(module);
        logger.log(&record.args(format_args!("{sentence}")).build());
    }
    lines.text()
}

const SPAN: Millis = Millis::from_secs(10);

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    line_is_time_level_and_sentence => {
        let line = log_from("citronhollow_platform::client", &["platform: no answer"]);
        let (time, rest) = line.split_once(' ').expect("a time");
        assert!(time.contains('T') && time.ends_with('Z'), "{time}");
        assert_eq!(rest, "[WARN] platform: no answer\n");
    };

    libraries_are_not_logged => {
        assert_eq!(log_from("volo_http::server", &["connection closed"]), "");
    };

    same_sentence_is_written_once => {
        let text = log_from("citronhollow", &["traffic: a", "traffic: a", "traffic: b"]);
        assert_eq!(text.lines().count(), 2, "{text}");
    };

    repeats_are_suppressed_and_counted => {
        let mut repeats = RepeatLimiter::new(SPAN);
        assert_eq!(repeats.admit("a", Millis(0)), Some(0));
        for ms in 1..10 {
            assert_eq!(repeats.admit("a", Millis(ms)), None);
        }
        assert_eq!(repeats.admit("a", SPAN), Some(9));
        assert_eq!(repeats.admit("a", SPAN.after(SPAN)), Some(0));
    };

    subjects_do_not_suppress_one_another => {
        let mut repeats = RepeatLimiter::new(SPAN);
        assert_eq!(repeats.admit("a", Millis(0)), Some(0));
        assert_eq!(repeats.admit("b", Millis(0)), Some(0));
    };

    table_of_subjects_is_bounded_and_expires => {
        let mut repeats = RepeatLimiter::new(SPAN);
        let admitted = (0..100_000).filter_map(|subject| repeats.admit(subject, Millis(0)));
        assert_eq!(admitted.count(), 1_024);
        assert_eq!(repeats.admit(200_000, SPAN), Some(0));
    };

    clock_that_goes_back_admits_nothing => {
        let mut repeats = RepeatLimiter::new(SPAN);
        assert_eq!(repeats.admit("a", SPAN), Some(0));
        assert_eq!(repeats.admit("a", Millis(0)), None);
    };
}

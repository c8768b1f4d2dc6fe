//! The pace of a watcher while the service is away and after it.

use std::time::Duration;

use citronhollow_platform::PlatformError;
use citronhollow_platform::watch_schedule::WatchSchedule;

fn lost() -> PlatformError {
    PlatformError::Lost {
        call: String::from("GET"),
    }
}

fn too_old() -> PlatformError {
    PlatformError::TooOld {
        call: String::from("GET"),
    }
}

// Seen as a configuration that was in force 4.5 s after the service was back: a watch of 4 s that began while
// it was silent, then 410, then the pause of a failure.
#[test]
fn watches_are_short_while_the_service_is_away() {
    let mut schedule = WatchSchedule::default();
    let usual = schedule.wait();
    schedule.on_failure(&lost());
    assert!(
        schedule.wait().0 * 4 <= usual.0,
        "{} and {usual}",
        schedule.wait()
    );
    assert!(schedule.on_answer(), "it is back");
    assert_eq!(schedule.wait(), usual);
}

#[test]
fn history_that_is_gone_is_no_failure() {
    let mut schedule = WatchSchedule::default();
    for _ in 0..10 {
        schedule.on_failure(&lost());
    }
    let (pause, is_lost) = schedule.on_failure(&too_old());
    assert!(pause <= Duration::from_millis(200), "{pause:?}");
    assert!(!is_lost);
}

#[test]
fn loss_is_said_once() {
    let mut schedule = WatchSchedule::default();
    assert!(schedule.on_failure(&lost()).1);
    assert!(!schedule.on_failure(&lost()).1);
    schedule.on_answer();
    assert!(schedule.on_failure(&lost()).1);
}

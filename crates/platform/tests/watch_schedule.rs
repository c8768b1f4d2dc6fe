//! Schedule of a watcher during an outage of the service and after it.

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

// Guards against a configuration that is in force only 4.5 s after an outage ended: a watch of 4 s
// started during the outage, then a 410, then the delay of a failure.
#[test]
fn watches_are_short_during_an_outage() {
    let mut schedule = WatchSchedule::default();
    let usual = schedule.wait();
    schedule.on_failure(&lost());
    assert!(
        schedule.wait().0 * 4 <= usual.0,
        "{} and {usual}",
        schedule.wait()
    );
    assert!(schedule.on_answer(), "the service is available again");
    assert_eq!(schedule.wait(), usual);
}

#[test]
fn too_old_version_is_not_a_failure() {
    let mut schedule = WatchSchedule::default();
    for _ in 0..10 {
        schedule.on_failure(&lost());
    }
    let (delay, is_lost) = schedule.on_failure(&too_old());
    assert!(delay <= Duration::from_millis(200), "{delay:?}");
    assert!(!is_lost);
}

#[test]
fn outage_is_reported_once() {
    let mut schedule = WatchSchedule::default();
    assert!(schedule.on_failure(&lost()).1);
    assert!(!schedule.on_failure(&lost()).1);
    schedule.on_answer();
    assert!(schedule.on_failure(&lost()).1);
}

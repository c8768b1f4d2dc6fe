//! Registration of the own entry, and the wait for it before others are listed.
//!
//! An entry that the service lost must be written again, but not because of one stale list. The
//! wait must end when the service is unavailable.

use std::time::Duration;

use citronhollow_platform::registration::{Registration, wait_until_listed};
use tokio::sync::watch;
use tokio::time::timeout;

#[test]
fn entry_is_written_again_after_two_lists_without_it() {
    let mut registration = Registration::default();
    assert!(registration.needs_write());
    registration.on_written();
    registration.on_listed(false);
    assert!(!registration.needs_write(), "the list may be old");
    registration.on_listed(false);
    assert!(registration.needs_write());
}

#[tokio::test]
async fn wait_ends_when_the_own_entry_is_written() {
    let (is_listed, _) = watch::channel(false);
    let writer = is_listed.clone();
    let written = tokio::spawn(async move {
        tokio::task::yield_now().await;
        writer.send_replace(true);
    });
    wait_until_listed(&is_listed).await;
    assert!(*is_listed.borrow());
    written.await.expect("the writer ends");
}

#[tokio::test]
async fn wait_ends_without_an_entry() {
    let (is_listed, _) = watch::channel(false);
    let waited = timeout(Duration::from_secs(5), wait_until_listed(&is_listed)).await;
    assert!(waited.is_ok());
    assert!(!*is_listed.borrow());
}

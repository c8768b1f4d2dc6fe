//! Tests of the removal of entries of machines that are lost for good.

use citronhollow_core::pass_through::{ABANDONED_LISTINGS, Abandoned};

type Entries = Abandoned<&'static str>;

fn list(entries: &mut Entries, listed: &[(&'static str, bool)]) -> Vec<&'static str> {
    entries.on_listing(listed.iter().copied())
}

fn list_repeatedly(entries: &mut Entries, listings: u32) {
    for _ in 0..listings {
        assert_eq!(
            list(entries, &[("desk-1", false), ("desk-2", true)]),
            [""; 0]
        );
    }
}

cases! {
    entry_without_messages_is_removed => {
        let mut entries = Entries::default();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(list(&mut entries, &[("desk-1", false), ("desk-2", true)]), ["desk-1"]);
    };

    failed_removal_is_retried => {
        let mut entries = Entries::default();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
        for _ in 0..3 {
            assert_eq!(list(&mut entries, &[("desk-1", false)]), ["desk-1"]);
        }
    };

    entry_with_one_message_is_kept => {
        let mut entries = Entries::default();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(list(&mut entries, &[("desk-1", true)]), [""; 0]);
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
    };

    entry_removed_and_created_again_is_counted_anew => {
        let mut entries = Entries::default();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(list(&mut entries, &[("desk-2", true)]), [""; 0]);
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
    };

    process_that_was_cut_off_restarts_all_counts => {
        let mut entries = Entries::default();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
        entries.clear();
        list_repeatedly(&mut entries, ABANDONED_LISTINGS - 1);
    };
}

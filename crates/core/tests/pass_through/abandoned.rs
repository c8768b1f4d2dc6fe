//! Entries of machines that are lost for good.

use citronhollow_core::pass_through::{ABANDONED_LISTINGS, Abandoned};

type Entries = Abandoned<&'static str>;

fn look(entries: &mut Entries, listed: &[(&'static str, bool)]) -> Vec<&'static str> {
    entries.on_listing(listed.iter().copied())
}

fn look_often(entries: &mut Entries, looks: u32) {
    for _ in 0..looks {
        assert_eq!(
            look(entries, &[("desk-1", false), ("desk-2", true)]),
            [""; 0]
        );
    }
}

cases! {
    entry_that_is_never_heard_is_removed => {
        let mut entries = Entries::default();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(look(&mut entries, &[("desk-1", false), ("desk-2", true)]), ["desk-1"]);
    };

    removal_that_failed_is_tried_again => {
        let mut entries = Entries::default();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
        for _ in 0..3 {
            assert_eq!(look(&mut entries, &[("desk-1", false)]), ["desk-1"]);
        }
    };

    entry_that_is_heard_once_is_kept => {
        let mut entries = Entries::default();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(look(&mut entries, &[("desk-1", true)]), [""; 0]);
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
    };

    entry_that_was_removed_and_made_again_counts_anew => {
        let mut entries = Entries::default();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
        assert_eq!(look(&mut entries, &[("desk-2", true)]), [""; 0]);
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
    };

    process_that_was_cut_off_begins_anew => {
        let mut entries = Entries::default();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
        entries.clear();
        look_often(&mut entries, ABANDONED_LISTINGS - 1);
    };
}
